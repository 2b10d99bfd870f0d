# Sourced by ./check and ./demo: makes .venv from the lock file when it is
# missing or older than the lock, and puts it first on PATH.
if [ ! -e .venv/installed ] || [ requirements.lock -nt .venv/installed ] || [ pyproject.toml -nt .venv/installed ]; then
  python3.11 -m venv .venv
  .venv/bin/python -m pip install -q --no-deps --no-warn-script-location -r requirements.lock
  .venv/bin/python -m pip install -q --no-deps --no-build-isolation -e .
  touch .venv/installed
fi
PATH="$PWD/.venv/bin:$PATH"
export PATH
