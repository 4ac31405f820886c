"""The history of routing rules that all heads share: versions, edits, undo, and when one is put in force.
No socket, no file, no clock.
"""
