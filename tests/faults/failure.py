"""What all failures have in common."""


class Failure:
    name = ""
    hold_s = 2.5  # time between begin and end
    disturbs_platform = False  # no publication can be expected to succeed meanwhile
    # What the run starts with; only one of two combined failures may set these.
    placements = []  # of the manifest
    entry_settings = []  # further lines
    engine_domains = []
    engine_options = []
    uses_gates = False  # the engines' addresses in the list are those of gates

    def begin(self, run):
        raise NotImplementedError

    def end(self, run):
        pass

    def detected_s(self, run):
        """Seconds from the injection to its detection, None if that is not observable."""
        return None
