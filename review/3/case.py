"""An entry of another writer with a deeply nested field: no list of servers can be read any more."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import calm
import fleet

DEPTH = 40


class Case(calm.CalmCase):
    def foreign_entry(self):
        """The field "service" is of another type."""
        value = []
        for _ in range(DEPTH):
            value = [value]
        return "i-00000000ff", {"service": value}


if __name__ == "__main__":
    sys.exit(fleet.main(sys.modules[__name__], os.path.dirname(os.path.abspath(__file__))))
