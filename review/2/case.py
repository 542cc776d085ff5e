"""An entry of another writer with a long service name: its followers learn of no server any more."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import calm
import fleet


class Case(calm.CalmCase):
    def foreign_entry(self):
        """Every field has its type; the service is not named in the configuration."""
        return "i-00000000ff", {
            "service": "records-archive." * 10, "addr": "%s:%d" % (self.ip(3, 200), self.port + 3),
            "zone": "z1", "version": "v1", "slots": 2, "state": "ready", "cold_left_ms": 0,
            "seq": 1, "born": 1700000000000}


if __name__ == "__main__":
    sys.exit(fleet.main(sys.modules[__name__], os.path.dirname(os.path.abspath(__file__))))
