"""Threads that call a system under test."""

import threading


class Workers:
    """Runs threads until the end of a `with` block. They must return once is_over is set."""

    def __init__(self, targets):
        """Takes (function, arguments) pairs."""
        self.is_over = threading.Event()
        self.threads = [threading.Thread(target=function, args=arguments)
                        for function, arguments in targets]

    def __enter__(self):
        for it in self.threads:
            it.start()
        return self

    def __exit__(self, *_details):
        self.is_over.set()
        for it in self.threads:
            it.join()
