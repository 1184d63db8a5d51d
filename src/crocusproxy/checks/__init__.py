"""Checks of a configuration of routes before operators publish it."""
