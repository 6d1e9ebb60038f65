"""Prints measured figures and fits lines through them."""

import numpy as np


def show(name: str, **fields: object) -> None:
    """Print one figure as a key=value line; floats get four significant digits."""
    parts = [f"figure={name}"]
    for key, value in fields.items():
        text = f"{value:.4g}" if isinstance(value, float) else str(value)
        parts.append(f"{key}={text}")
    print(" ".join(parts), flush=True)


def show_slope(name: str, points: list[tuple[float, float]], **fields: object) -> float:
    """Print a least-squares line through `points`, (x, y) each, and return its slope.

    The line also gives the intercept, the points, and r2, the coefficient of
    determination.
    """
    xs = np.array([x for x, _ in points], dtype=float)
    ys = np.array([y for _, y in points], dtype=float)
    slope, intercept = np.polyfit(xs, ys, 1)
    residual = float(np.sum((ys - slope * xs - intercept) ** 2))
    variation = float(np.sum((ys - ys.mean()) ** 2))
    r2 = 1.0 - residual / variation if variation else 1.0
    points_text = ",".join(f"{x:g}:{y:.4g}" for x, y in points)
    show(
        name,
        slope=float(slope),
        intercept=float(intercept),
        r2=r2,
        points=points_text,
        **fields,
    )
    return float(slope)
