"""The operators' text: parsing with places, checks, differences."""
