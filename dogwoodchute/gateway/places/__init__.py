"""Where requests may be served: allowed regions and evacuated data centres."""
