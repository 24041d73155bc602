#!/bin/sh
# The cases of the third review need no stand-ins: they are days for the bench.
exit 0
