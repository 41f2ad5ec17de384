package lupinvalve.statemachine;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lupinvalve.routing.Routing;

/** Changes and snapshots as bytes. The first number says which change; snapshots begin with the format's version. */
public final class Encoding {
    /** Sessions to a piece of a snapshot, so that pieces stay well under what the wire takes at once. */
    private static final int PIECE = 4000;
    /**
     * The second has what poolers noted; it is written only where there is any, so that older programs read the rest.
     */
    private static final int FORMAT = 1, WITH_NOTES = 2;

    private Encoding() {}

    // ---- changes ----

    public static byte[] write(Command change) {
        Cbor.Writer out = new Cbor.Writer();
        if (change instanceof Command.PutDocument put) {
            out.number(1).number(put.expectedRevision()).bytes(put.document());
        } else if (change instanceof Command.StartDrain hold) {
            holding(out.number(2), hold.target()).text(hold.reason()).number(hold.atMicros());
        } else if (change instanceof Command.EndDrain release) {
            holding(out.number(3), release.target());
        } else if (change instanceof Command.SessionCommits commits) {
            out.number(4).number(commits.atMicros()).number(commits.positions().size());
            commits.positions().forEach((session, position) -> out.text(session).number(position));
        } else if (change instanceof Command.EndpointList listing) {
            listing(out.number(5), listing);
        } else if (change instanceof Command.SetMemberAddress place) {
            out.number(6).text(place.member()).text(place.address());
        } else if (change instanceof Command.AppendAudit noted) {
            out.number(7)
                    .text(noted.pooler())
                    .number(noted.incarnation())
                    .number(noted.firstNumber())
                    .number(noted.entries().size());
            noted.entries().forEach(out::bytes);
        } else {
            out.number(0);
        }
        return out.toByteArray();
    }

    public static Command read(byte[] bytes) throws IOException {
        Cbor.Reader in = new Cbor.Reader(bytes);
        int kind = in.count(100);
        Command change =
                switch (kind) {
                    case 0 -> new Command.NoOp();
                    case 1 -> new Command.PutDocument(in.number(), in.bytes());
                    case 2 -> new Command.StartDrain(holding(in), in.text(), in.number());
                    case 3 -> new Command.EndDrain(holding(in));
                    case 4 -> new Command.SessionCommits(in.number(), positions(in));
                    case 5 -> listing(in);
                    case 6 -> new Command.SetMemberAddress(in.text(), in.text());
                    case 7 -> new Command.AppendAudit(in.text(), in.number(), in.number(), entries(in));
                    default -> throw new IOException("a change of the unknown kind " + kind);
                };
        if (!in.atEnd()) {
            throw new IOException("more than a change");
        }
        return change;
    }

    private static Cbor.Writer holding(Cbor.Writer out, Command.DrainTarget held) {
        return out.flag(held.kind() == Command.TargetKind.POOLER).text(held.name());
    }

    private static Command.DrainTarget holding(Cbor.Reader in) throws IOException {
        return new Command.DrainTarget(in.flag() ? Command.TargetKind.POOLER : Command.TargetKind.NODE, in.text());
    }

    private static Map<String, Long> positions(Cbor.Reader in) throws IOException {
        int count = in.count(SessionTable.MAX_SESSIONS);
        Map<String, Long> positions = new HashMap<>();
        for (int i = 0; i < count; i++) {
            positions.put(in.text(), in.number());
        }
        return positions;
    }

    private static List<byte[]> entries(Cbor.Reader in) throws IOException {
        List<byte[]> entries = new ArrayList<>();
        for (int left = in.count(ReplicatedState.MAX_AUDIT_ENTRIES_PER_COMMAND); left > 0; left--) {
            entries.add(in.bytes());
        }
        return entries;
    }

    private static void listing(Cbor.Writer out, Command.EndpointList listing) {
        out.number(listing.revision()).number(listing.endpoints().size());
        for (Command.Endpoint listed : listing.endpoints()) {
            Routing.Member m = listed.member();
            out.text(m.node())
                    .number(m.group())
                    .number(m.zone())
                    .number(m.health().ordinal())
                    .flag(m.listedPrimary())
                    .number(m.bornMicros())
                    .number(listed.logPosition())
                    .number(listed.addresses().size());
            new TreeMap<>(listed.addresses())
                    .forEach((protocol, address) -> out.text(protocol).text(address));
        }
    }

    private static Command.EndpointList listing(Cbor.Reader in) throws IOException {
        long revision = in.number();
        int count = in.count(ReplicatedState.MAX_ENDPOINTS);
        List<Command.Endpoint> nodes = new ArrayList<>();
        Routing.Health[] healths = Routing.Health.values();
        for (int i = 0; i < count; i++) {
            Routing.Member m = new Routing.Member(
                    in.text(),
                    (int) in.number(),
                    (int) in.number(),
                    healths[in.count(healths.length - 1)],
                    in.flag(),
                    in.number());
            long position = in.number();
            Map<String, String> addresses = new HashMap<>();
            for (int left = in.count(16); left > 0; left--) {
                addresses.put(in.text(), in.text());
            }
            nodes.add(new Command.Endpoint(m, addresses, position));
        }
        return new Command.EndpointList(revision, nodes);
    }

    // ---- snapshots ----

    /** The whole state in pieces: the first one has all but the sessions. */
    public static List<byte[]> snapshot(ReplicatedState ledger) {
        List<byte[]> pieces = new ArrayList<>();
        Cbor.Writer head = new Cbor.Writer()
                .number(ledger.auditEntries().isEmpty() ? FORMAT : WITH_NOTES)
                .number(ledger.appliedIndex())
                .number(ledger.sessions().latestMicros());
        ReplicatedState.Document document = ledger.document();
        head.flag(document != null);
        if (document != null) {
            head.number(document.revision()).number(document.index()).bytes(document.content());
        }
        head.number(ledger.drains().size());
        ledger.drains()
                .forEach((held, why) -> holding(head, held).text(why.reason()).number(why.sinceMicros()));
        head.number(ledger.memberAddresses().size());
        ledger.memberAddresses().forEach((member, address) -> head.text(member).text(address));
        listing(head, ledger.endpointList());
        List<byte[]> notes = notes(ledger);
        if (!notes.isEmpty()) {
            head.number(notes.size());
        }
        pieces.add(head.toByteArray());
        pieces.addAll(notes);
        Map<String, Long> some = new java.util.LinkedHashMap<>();
        ledger.sessions().forEachOldestFirst((session, position) -> {
            some.put(session, position);
            if (some.size() == PIECE) {
                pieces.add(sessions(some));
                some.clear();
            }
        });
        if (!some.isEmpty()) {
            pieces.add(sessions(some));
        }
        return pieces;
    }

    private static List<byte[]> notes(ReplicatedState ledger) {
        List<byte[]> pieces = new ArrayList<>();
        List<Map.Entry<String, byte[]>> all = List.copyOf(ledger.auditEntries().entrySet());
        for (int from = 0; from < all.size(); from += PIECE) {
            List<Map.Entry<String, byte[]>> some = all.subList(from, Math.min(all.size(), from + PIECE));
            Cbor.Writer out = new Cbor.Writer().number(some.size());
            some.forEach(note -> out.text(note.getKey()).bytes(note.getValue()));
            pieces.add(out.toByteArray());
        }
        return pieces;
    }

    /** All sessions' commits as one change. */
    public static Command.SessionCommits commits(ReplicatedState ledger) {
        Map<String, Long> all = new HashMap<>();
        ledger.sessions().forEachOldestFirst(all::put);
        return new Command.SessionCommits(ledger.sessions().latestMicros(), all);
    }

    private static byte[] sessions(Map<String, Long> some) {
        Cbor.Writer out = new Cbor.Writer().number(some.size());
        some.forEach((session, position) -> out.text(session).number(position));
        return out.toByteArray();
    }

    /** Makes a ledger what a snapshot says. */
    public static void restore(ReplicatedState ledger, List<byte[]> pieces) throws IOException {
        Cbor.Reader in = new Cbor.Reader(pieces.get(0));
        long format = in.number();
        if (format != FORMAT && format != WITH_NOTES) {
            throw new IOException(
                    "a snapshot of format " + format + "; this program reads " + FORMAT + " and " + WITH_NOTES);
        }
        long index = in.number();
        long latest = in.number();
        ReplicatedState.Document document = null;
        if (in.flag()) {
            long revision = in.number();
            long at = in.number();
            byte[] content = in.bytes();
            document = new ReplicatedState.Document(revision, at, ReplicatedState.digest(content), content);
        }
        Map<Command.DrainTarget, ReplicatedState.Drain> holds = new HashMap<>();
        for (int left = in.count(ReplicatedState.MAX_DRAINS); left > 0; left--) {
            holds.put(holding(in), new ReplicatedState.Drain(in.text(), in.number()));
        }
        Map<String, String> places = new HashMap<>();
        for (int left = in.count(ReplicatedState.MAX_MEMBER_ADDRESSES); left > 0; left--) {
            places.put(in.text(), in.text());
        }
        Command.EndpointList listing = listing(in);
        int noted = format == WITH_NOTES ? in.count(pieces.size() - 1) : 0;
        Map<String, byte[]> notes = new java.util.LinkedHashMap<>();
        for (byte[] piece : pieces.subList(1, 1 + noted)) {
            Cbor.Reader some = new Cbor.Reader(piece);
            for (int left = some.count(PIECE); left > 0; left--) {
                notes.put(some.text(), some.bytes());
            }
        }
        ledger.restore(index, document, holds, places, listing, notes);
        for (byte[] piece : pieces.subList(1 + noted, pieces.size())) {
            ledger.sessions().apply(latest, positions(new Cbor.Reader(piece)));
        }
    }
}
