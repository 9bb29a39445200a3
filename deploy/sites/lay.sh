#!/bin/sh
# Lays the kit's own files beside a site of the project's, so that the bench can play it: deploy/sites/lay.sh NAME [KIT]
# Prints the site file that the bench is then given. KIT is the folder of the kit's first site.
set -e
here=$(dirname "$0")/${1:?usage: deploy/sites/lay.sh NAME [KIT]}
kit=${2:-$(dirname "$0")/../../../given/kit/sites}
test -f "$here/site.toml" || { echo "lay.sh: no such site: $1" >&2; exit 2; }
for file in real.json wire.json unlock.txt; do
    cp "$kit/$file" "$here/$file"
done
echo "$here/site.toml"
