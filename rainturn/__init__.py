"""rainturn: an API gateway that sheds by worth and shares its customers' quotas with its peers."""
