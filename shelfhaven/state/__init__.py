"""Durable key store: records keyed requests on disk, so that no key runs twice across a restart.

An intent is written before a run begins, and its outcome before the answer is sent.

Modules without I/O: `records`, `disk_health`, `previous_incarnation`, `saved_estimates` and `settings`.
`store` manages the SQLite file, with the help of `reader`, `schema`, `file_lock` and `quarantine`. Only the
thread in `writer` accesses the file. `recovery` opens and reads it at startup, `group_commit` queues writes
and commits them in batches, `admission` decides which keyed requests may run, and `actor` connects all of
these to the core. `administration` implements the commands `shelfhaven state ...`.
"""
