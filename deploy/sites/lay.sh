#!/bin/sh
# Lays beside these sites the three files that the bench wants there; they are the operators' and not kept here.
# KIT: the folder of the operators' kit that has sites/ in it, ../given/kit beside the repository unless told.
here=$(cd "$(dirname "$0")" && pwd) || exit 1
kit=${1:-$here/../../../given/kit}
for name in real.json wire.json unlock.txt; do
    if [ ! -r "$kit/sites/$name" ]; then
        echo "lay.sh: $kit/sites/$name can't be read; name the kit's folder: lay.sh KIT" >&2
        exit 1
    fi
    cp -f "$kit/sites/$name" "$here/$name" && chmod 644 "$here/$name" || exit 1
done
