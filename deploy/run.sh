#!/bin/sh
# Starts a pooler with a heap that fits the platform's memory limit, which differs from day to day. The heap is not
# pre-touched: that takes a tenth of the cost of a start, and the maximum size applies without it. 72 MB of the limit are
# left for the JVM's other memory.
#
# The platform prevents the start of other programs: the shell itself reads the configuration file up to the key, then execs
# the JVM. The file may be large (an endpoint list of thousands of db nodes) and may be one line, so each byte is read once:
# a line is split at its quotation marks, and the key is a part that is followed by a colon. Patterns that remove a prefix
# (${text#*key}) try every prefix, which took minutes for 960 db nodes.
#
# A signal may arrive before the program handles it. SIGHUP is ignored, since the program has yet to read the file that it
# announces; SIGTERM exits with 0, since no request was accepted yet.
trap '' HUP
trap 'exit 0' TERM
memory=
if [ -r "$NODE_CONFIG" ]; then
    after_key=
    set -f
    while [ -z "$memory" ] && { IFS= read -r line || [ -n "$line" ]; }; do
        case $after_key$line in
            *memory_mb* | key* | colon*) ;;
            *) continue ;;
        esac
        IFS='"'
        for part in $line; do
            if [ -z "$after_key" ]; then
                [ "$part" != memory_mb ] || after_key=key
                continue
            fi
            # After the key's name: white space and, if it is the key, a colon; the value may be on a later line.
            between=${part%%[!\ :"	"]*}
            value=${part#"$between"}
            case $between in
                *:*) after_key=colon ;;
            esac
            if [ -z "$value" ]; then
                continue
            fi
            if [ "$after_key" = colon ]; then
                memory=${value%%[!0-9]*}
                memory=${memory:-none}
                break
            fi
            after_key=
        done
        unset IFS
    done < "$NODE_CONFIG"
    set +f
    # If the value is not a number, the default applies.
    [ "$memory" != none ] || memory=
fi
heap=$((${memory:-128} - 72))
[ "$heap" -ge 40 ] || heap=40
[ "$heap" -le 112 ] || heap=112
export MALLOC_ARENA_MAX=2
# With an admin interface, two processes run concurrently during a hot restart, within the same memory limit: the heap then
# starts small and grows on demand, and its young generation stays small.
start="-Xms${heap}m"
[ -z "$NODE_OPERATOR" ] || start="-Xms24m -Xmn10m"
# The archive for class data sharing from the build; a JVM that can't use it loads the classes from the jar.
archive=daemon/target/lupinvalve.jsa
[ -r "$archive" ] && set -- "-XX:SharedArchiveFile=$archive" -Xlog:cds=off || set --
# A method is compiled after 50 calls instead of 200: clients send at full rate from the first second on, and interpreted
# code takes several times the share of a core that a pooler has.
# The platform's sockets are IPv4 only; by default the JVM opens IPv6 sockets that carry both.
trap - HUP
# shellcheck disable=SC2086
exec java "$@" -XX:+UseSerialGC $start "-Xmx${heap}m" -XX:MaxDirectMemorySize=12m \
    -XX:MaxMetaspaceSize=40m -XX:ReservedCodeCacheSize=24m -Xss256k -XX:TieredStopAtLevel=1 -Xshare:auto \
    -XX:Tier3InvocationThreshold=50 -XX:Tier3MinInvocationThreshold=20 -XX:Tier3CompileThreshold=400 \
    -XX:-UsePerfData -Djdk.nio.maxCachedBufferSize=65536 -Djava.net.preferIPv4Stack=true \
    -jar daemon/target/lupinvalve.jar serve
