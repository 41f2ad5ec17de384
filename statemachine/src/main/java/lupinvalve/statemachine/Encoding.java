package lupinvalve.statemachine;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.EndpointState;

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

    public static byte[] write(Change change) {
        Cbor.Out out = new Cbor.Out();
        if (change instanceof Change.Put put) {
            out.number(1).number(put.expected()).bytes(put.document());
        } else if (change instanceof Change.Hold hold) {
            holding(out.number(2), hold.held()).text(hold.why()).number(hold.atMicros());
        } else if (change instanceof Change.Release release) {
            holding(out.number(3), release.held());
        } else if (change instanceof Change.Commits commits) {
            out.number(4).number(commits.atMicros()).number(commits.positions().size());
            commits.positions().forEach((session, position) -> out.text(session).number(position));
        } else if (change instanceof Change.Listing listing) {
            listing(out.number(5), listing);
        } else if (change instanceof Change.Place place) {
            out.number(6).text(place.member()).text(place.address());
        } else if (change instanceof Change.Noted noted) {
            out.number(7)
                    .text(noted.pooler())
                    .number(noted.life())
                    .number(noted.first())
                    .number(noted.entries().size());
            noted.entries().forEach(out::bytes);
        } else {
            out.number(0);
        }
        return out.done();
    }

    public static Change read(byte[] bytes) throws IOException {
        Cbor.In in = new Cbor.In(bytes);
        int kind = in.count(100);
        Change change =
                switch (kind) {
                    case 0 -> new Change.Nothing();
                    case 1 -> new Change.Put(in.number(), in.bytes());
                    case 2 -> new Change.Hold(holding(in), in.text(), in.number());
                    case 3 -> new Change.Release(holding(in));
                    case 4 -> new Change.Commits(in.number(), positions(in));
                    case 5 -> listing(in);
                    case 6 -> new Change.Place(in.text(), in.text());
                    case 7 -> new Change.Noted(in.text(), in.number(), in.number(), entries(in));
                    default -> throw new IOException("a change of the unknown kind " + kind);
                };
        if (!in.ended()) {
            throw new IOException("more than a change");
        }
        return change;
    }

    private static Cbor.Out holding(Cbor.Out out, Change.Holding held) {
        return out.flag(held.kind() == Change.Kind.POOLER).text(held.name());
    }

    private static Change.Holding holding(Cbor.In in) throws IOException {
        return new Change.Holding(in.flag() ? Change.Kind.POOLER : Change.Kind.NODE, in.text());
    }

    private static Map<String, Long> positions(Cbor.In in) throws IOException {
        int count = in.count(Sessions.MOST);
        Map<String, Long> positions = new HashMap<>();
        for (int i = 0; i < count; i++) {
            positions.put(in.text(), in.number());
        }
        return positions;
    }

    private static List<byte[]> entries(Cbor.In in) throws IOException {
        List<byte[]> entries = new ArrayList<>();
        for (int left = in.count(Ledger.NOTED_AT_ONCE); left > 0; left--) {
            entries.add(in.bytes());
        }
        return entries;
    }

    private static void listing(Cbor.Out out, Change.Listing listing) {
        out.number(listing.revision()).number(listing.nodes().size());
        for (Change.Listed listed : listing.nodes()) {
            Endpoint m = listed.member();
            out.text(m.node())
                    .number(m.group())
                    .number(m.zone())
                    .number(m.state().ordinal())
                    .flag(m.listedPrimary())
                    .number(m.startedAtMicros())
                    .number(listed.position())
                    .number(listed.addresses().size());
            new TreeMap<>(listed.addresses())
                    .forEach((protocol, address) -> out.text(protocol).text(address));
        }
    }

    private static Change.Listing listing(Cbor.In in) throws IOException {
        long revision = in.number();
        int count = in.count(Ledger.LISTED_MOST);
        List<Change.Listed> nodes = new ArrayList<>();
        EndpointState[] healths = EndpointState.values();
        for (int i = 0; i < count; i++) {
            Endpoint m = new Endpoint(
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
            nodes.add(new Change.Listed(m, addresses, position));
        }
        return new Change.Listing(revision, nodes);
    }

    // ---- snapshots ----

    /** The whole state in pieces: the first one has all but the sessions. */
    public static List<byte[]> snapshot(Ledger ledger) {
        List<byte[]> pieces = new ArrayList<>();
        Cbor.Out head = new Cbor.Out()
                .number(ledger.noted().isEmpty() ? FORMAT : WITH_NOTES)
                .number(ledger.applied())
                .number(ledger.sessions().latest());
        Ledger.Document document = ledger.document();
        head.flag(document != null);
        if (document != null) {
            head.number(document.revision()).number(document.index()).bytes(document.content());
        }
        head.number(ledger.holds().size());
        ledger.holds()
                .forEach((held, why) -> holding(head, held).text(why.why()).number(why.atMicros()));
        head.number(ledger.places().size());
        ledger.places().forEach((member, address) -> head.text(member).text(address));
        listing(head, ledger.listing());
        List<byte[]> notes = notes(ledger);
        if (!notes.isEmpty()) {
            head.number(notes.size());
        }
        pieces.add(head.done());
        pieces.addAll(notes);
        Map<String, Long> some = new java.util.LinkedHashMap<>();
        ledger.sessions().each((session, position) -> {
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

    private static List<byte[]> notes(Ledger ledger) {
        List<byte[]> pieces = new ArrayList<>();
        List<Map.Entry<String, byte[]>> all = List.copyOf(ledger.noted().entrySet());
        for (int from = 0; from < all.size(); from += PIECE) {
            List<Map.Entry<String, byte[]>> some = all.subList(from, Math.min(all.size(), from + PIECE));
            Cbor.Out out = new Cbor.Out().number(some.size());
            some.forEach(note -> out.text(note.getKey()).bytes(note.getValue()));
            pieces.add(out.done());
        }
        return pieces;
    }

    /** All sessions' commits as one change. */
    public static Change.Commits commits(Ledger ledger) {
        Map<String, Long> all = new HashMap<>();
        ledger.sessions().each(all::put);
        return new Change.Commits(ledger.sessions().latest(), all);
    }

    private static byte[] sessions(Map<String, Long> some) {
        Cbor.Out out = new Cbor.Out().number(some.size());
        some.forEach((session, position) -> out.text(session).number(position));
        return out.done();
    }

    /** Makes a ledger what a snapshot says. */
    public static void restore(Ledger ledger, List<byte[]> pieces) throws IOException {
        Cbor.In in = new Cbor.In(pieces.get(0));
        long format = in.number();
        if (format != FORMAT && format != WITH_NOTES) {
            throw new IOException(
                    "a snapshot of format " + format + "; this program reads " + FORMAT + " and " + WITH_NOTES);
        }
        long index = in.number();
        long latest = in.number();
        Ledger.Document document = null;
        if (in.flag()) {
            long revision = in.number();
            long at = in.number();
            byte[] content = in.bytes();
            document = new Ledger.Document(revision, at, Ledger.digest(content), content);
        }
        Map<Change.Holding, Ledger.Held> holds = new HashMap<>();
        for (int left = in.count(Ledger.HOLDS_MOST); left > 0; left--) {
            holds.put(holding(in), new Ledger.Held(in.text(), in.number()));
        }
        Map<String, String> places = new HashMap<>();
        for (int left = in.count(Ledger.PLACES_MOST); left > 0; left--) {
            places.put(in.text(), in.text());
        }
        Change.Listing listing = listing(in);
        int noted = format == WITH_NOTES ? in.count(pieces.size() - 1) : 0;
        Map<String, byte[]> notes = new java.util.LinkedHashMap<>();
        for (byte[] piece : pieces.subList(1, 1 + noted)) {
            Cbor.In some = new Cbor.In(piece);
            for (int left = some.count(PIECE); left > 0; left--) {
                notes.put(some.text(), some.bytes());
            }
        }
        ledger.restore(index, document, holds, places, listing, notes);
        for (byte[] piece : pieces.subList(1 + noted, pieces.size())) {
            ledger.sessions().take(latest, positions(new Cbor.In(piece)));
        }
    }
}
