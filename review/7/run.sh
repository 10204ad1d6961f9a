#!/bin/sh
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../run-2.sh"
play ZoneKey
