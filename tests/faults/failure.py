"""Base class of the failures."""


class Failure:
    name = ""
    hold_s = 2.5  # time between begin and end
    disturbs_platform = False  # publications may fail meanwhile
    # Initial settings of the run; only one of two combined failures may set them.
    placements = []  # in the manifest
    entry_settings = []  # further lines of the entries' settings
    engine_domains = []
    engine_options = []
    uses_gates = False  # the instance list has gates in front of the engines

    def begin(self, run):
        raise NotImplementedError

    def end(self, run):
        pass

    def detected_s(self, run):
        """Seconds from the injection to its detection, None if that is not observable."""
        return None
