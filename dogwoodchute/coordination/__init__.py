"""The decisions of the fleet as pure code, without I/O and without a clock of its own.

Callers pass in data and the time. Other projects may embed these modules. They import
the standard library, small pure libraries and one another, but nothing else of this
package.
"""
