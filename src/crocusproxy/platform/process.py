"""How the platform starts a process."""

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = 'CROCUSPROXY_BOOT'
