"""The objects that operators declare: schemas, validation and storage."""
