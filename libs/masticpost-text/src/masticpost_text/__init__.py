"""The operators' text: parsing with source positions, checks, differences."""
