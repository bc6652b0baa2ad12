"""rainturn: an API gateway that refuses the least valuable work first and shares quotas with its peers."""
