"""Names that the platform uses when it starts a process."""

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = 'CROCUSPROXY_BOOT'
