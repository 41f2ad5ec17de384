#!/bin/sh
# Starts three poolers on loopback that replicate one configuration; needs the built jar. All files are written to the folder
# given as the argument, or to a new one. The poolers stop when this script ends.
set -e
cd "$(dirname "$0")/../.."
jar=daemon/target/lupinvalve.jar
folder=${1:-$(mktemp -d)}
mkdir -p "$folder"
[ -r "$folder/keys/authority.pem" ] || java -jar $jar store keys "$folder/keys" a b c > /dev/null
pids=
trap 'kill $pids 2> /dev/null; wait' EXIT INT TERM
port=7400
for name in a b c; do
    sed "s/127.0.0.1:5432/127.0.0.1:$((port + 32))/" example/config.json > "$folder/$name.json"
    cat > "$folder/$name.operator.json" << END
{"mysql": {"listen": "127.0.0.1:$((port + 6))", "user": "from-the-group"},
 "store": {"cluster": "example", "name": "$name", "folder": "$folder/$name", "listen": "127.0.0.1:$port",
  "members": {"a": "127.0.0.1:7400", "b": "127.0.0.1:7401", "c": "127.0.0.1:7402"},
  "tls": {"authority": "$folder/keys/authority.pem", "certificate": "$folder/keys/$name.pem",
   "key": "$folder/keys/$name.key"}}}
END
    java -Xmx64m -jar $jar serve --config "$folder/$name.json" --operator "$folder/$name.operator.json" \
        > "$folder/$name.log" 2>&1 &
    pids="$pids $!"
    port=$((port + 1))
done
echo "three poolers run; their files and logs are in $folder. In another terminal, for one:"
echo "  java -jar $jar store put example/shared.json --revision 0 --operator $folder/a.operator.json"
echo "  java -jar $jar store members --operator $folder/b.operator.json"
wait
