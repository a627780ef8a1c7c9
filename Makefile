.PHONY: test
test:
	ruff check .
	mypy
	python -m pytest
