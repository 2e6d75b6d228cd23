"""The decisions of a front and the types through which a front and its decisions meet."""
