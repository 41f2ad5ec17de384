#!/bin/sh
# Starts a pooler with a heap that fits the platform's limit on memory, which differs by day. It is not touched at
# the start: that takes a tenth of what a start costs, and the bound holds all the same. 72 MB are left for the rest.
#
# The platform refuses to start other programs: the shell reads the file by itself, up to the key, then becomes the JVM.
# The file may be large (a list of thousands of db nodes) and may be one line, so each byte is looked at once: a line is
# split at its quotation marks, and the key is a part that is followed by a colon. Patterns that cut off a prefix
# (${text#*key}) try every prefix anew, which took minutes for 960 db nodes.
#
# A signal may come before there is a program to hear it. What SIGHUP announces is in the file that the program has yet to
# read, and SIGTERM ends nothing that was taken.
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
            # What follows the key's name: white space and, where it is the key, a colon; its value may stand on a later line.
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
    # Where the value is no number the default holds.
    [ "$memory" != none ] || memory=
fi
heap=$((${memory:-128} - 72))
[ "$heap" -ge 40 ] || heap=40
[ "$heap" -le 112 ] || heap=112
export MALLOC_ARENA_MAX=2
# Where operators have an address, two of these run beside each other during an upgrade, within the same limit: the heap then
# starts small and grows where it must, and its part for new objects stays small.
start="-Xms${heap}m"
[ -z "$NODE_OPERATOR" ] || start="-Xms24m -Xmn10m"
# What the build's rehearsal wrote down of the classes; a JVM that can't use it reads them from the jar as ever.
archive=daemon/target/lupinvalve.jsa
[ -r "$archive" ] && set -- "-XX:SharedArchiveFile=$archive" -Xlog:cds=off || set --
# A method is compiled after 50 calls in place of 200: clients come at full rate from the first second on, and code that
# is still interpreted takes several times the part of a core that a pooler has.
# The platform's sockets are IPv4 alone; a JVM left to itself opens IPv6 sockets that carry both.
trap - HUP
# shellcheck disable=SC2086
exec java "$@" -XX:+UseSerialGC $start "-Xmx${heap}m" -XX:MaxDirectMemorySize=12m \
    -XX:MaxMetaspaceSize=40m -XX:ReservedCodeCacheSize=24m -Xss256k -XX:TieredStopAtLevel=1 -Xshare:auto \
    -XX:Tier3InvocationThreshold=50 -XX:Tier3MinInvocationThreshold=20 -XX:Tier3CompileThreshold=400 \
    -XX:-UsePerfData -Djdk.nio.maxCachedBufferSize=65536 -Djava.net.preferIPv4Stack=true \
    -jar daemon/target/lupinvalve.jar serve
