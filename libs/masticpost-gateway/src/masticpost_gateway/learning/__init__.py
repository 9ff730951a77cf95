"""Estimates from answers: versions on trial, sessions, speeds and crashes."""
