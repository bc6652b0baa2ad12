"""rainturn: the decisions of a front door metering many customers' use of one shared service."""
