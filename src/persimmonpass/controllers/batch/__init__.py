"""Jobs: storage, results, the batch runner and its items."""
