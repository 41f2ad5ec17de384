package lupinvalve.statemachine;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.EndpointState;

/** Codec for commands in the log and on the wire: the number of the kind, then its fields in a fixed order. */
public final class CommandCodec {
    private static final int NO_OP = 0;
    private static final int PUT_DOCUMENT = 1;
    private static final int START_DRAIN = 2;
    private static final int END_DRAIN = 3;
    private static final int SESSION_COMMITS = 4;
    private static final int ENDPOINT_LIST = 5;
    private static final int SET_MEMBER_ADDRESS = 6;
    private static final int APPEND_AUDIT = 7;
    private static final int MAX_KIND = 100;

    private static final int MAX_ADDRESSES_PER_ENDPOINT = 16;

    private CommandCodec() {}

    /** Encodes a command. */
    public static byte[] encode(Command command) {
        Cbor.Writer out = new Cbor.Writer();
        if (command instanceof Command.PutDocument put) {
            out.number(PUT_DOCUMENT).number(put.expectedRevision()).bytes(put.document());
        } else if (command instanceof Command.StartDrain start) {
            writeTarget(out.number(START_DRAIN), start.target());
            out.text(start.reason()).number(start.atMicros());
        } else if (command instanceof Command.EndDrain end) {
            writeTarget(out.number(END_DRAIN), end.target());
        } else if (command instanceof Command.SessionCommits commits) {
            writePositions(out.number(SESSION_COMMITS).number(commits.atMicros()), commits.positions());
        } else if (command instanceof Command.EndpointList list) {
            writeEndpointList(out.number(ENDPOINT_LIST), list);
        } else if (command instanceof Command.SetMemberAddress set) {
            out.number(SET_MEMBER_ADDRESS).text(set.member()).text(set.address());
        } else if (command instanceof Command.AppendAudit append) {
            writeAudit(out.number(APPEND_AUDIT), append);
        } else {
            out.number(NO_OP);
        }
        return out.toByteArray();
    }

    /** Decodes a command; throws {@link DecodingException} if the bytes are not exactly one command. */
    public static Command decode(byte[] bytes) throws IOException {
        Cbor.Reader in = new Cbor.Reader(bytes);
        int kind = in.count(MAX_KIND);
        Command command =
                switch (kind) {
                    case NO_OP -> new Command.NoOp();
                    case PUT_DOCUMENT -> new Command.PutDocument(in.number(), in.bytes());
                    case START_DRAIN -> new Command.StartDrain(readTarget(in), in.text(), in.number());
                    case END_DRAIN -> new Command.EndDrain(readTarget(in));
                    case SESSION_COMMITS -> new Command.SessionCommits(in.number(), readPositions(in));
                    case ENDPOINT_LIST -> readEndpointList(in);
                    case SET_MEMBER_ADDRESS -> new Command.SetMemberAddress(in.text(), in.text());
                    case APPEND_AUDIT -> new Command.AppendAudit(in.text(), in.number(), in.number(), readEntries(in));
                    default -> throw new DecodingException("a command of the unknown kind " + kind);
                };
        if (!in.atEnd()) {
            throw new DecodingException("bytes after a command of the kind " + kind);
        }
        return command;
    }

    // The following are also used by SnapshotCodec.

    static void writeTarget(Cbor.Writer out, Command.DrainTarget target) {
        out.flag(target.kind() == Command.TargetKind.POOLER).text(target.name());
    }

    static Command.DrainTarget readTarget(Cbor.Reader in) throws IOException {
        return new Command.DrainTarget(in.flag() ? Command.TargetKind.POOLER : Command.TargetKind.NODE, in.text());
    }

    static void writePositions(Cbor.Writer out, Map<String, Long> positions) {
        out.number(positions.size());
        positions.forEach((session, position) -> out.text(session).number(position));
    }

    static Map<String, Long> readPositions(Cbor.Reader in) throws IOException {
        int count = in.count(SessionTable.MAX_SESSIONS);
        Map<String, Long> positions = new HashMap<>();
        for (int i = 0; i < count; i++) {
            positions.put(in.text(), in.number());
        }
        return positions;
    }

    static void writeEndpointList(Cbor.Writer out, Command.EndpointList list) {
        out.number(list.revision()).number(list.endpoints().size());
        for (Command.KnownEndpoint known : list.endpoints()) {
            writeEndpoint(out, known);
        }
    }

    static Command.EndpointList readEndpointList(Cbor.Reader in) throws IOException {
        long revision = in.number();
        int count = in.count(ReplicatedState.MAX_ENDPOINTS);
        List<Command.KnownEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            endpoints.add(readEndpoint(in));
        }
        return new Command.EndpointList(revision, endpoints);
    }

    private static void writeEndpoint(Cbor.Writer out, Command.KnownEndpoint known) {
        Endpoint endpoint = known.endpoint();
        out.text(endpoint.node())
                .number(endpoint.group())
                .number(endpoint.zone())
                .number(endpoint.state().ordinal())
                .flag(endpoint.listedPrimary())
                .number(endpoint.startedAtMicros())
                .number(known.logPosition())
                .number(known.addresses().size());
        new TreeMap<>(known.addresses())
                .forEach((protocol, address) -> out.text(protocol).text(address));
    }

    private static Command.KnownEndpoint readEndpoint(Cbor.Reader in) throws IOException {
        EndpointState[] states = EndpointState.values();
        Endpoint endpoint = new Endpoint(
                in.text(),
                (int) in.number(),
                (int) in.number(),
                states[in.count(states.length - 1)],
                in.flag(),
                in.number());
        long logPosition = in.number();
        Map<String, String> addresses = new HashMap<>();
        for (int remaining = in.count(MAX_ADDRESSES_PER_ENDPOINT); remaining > 0; remaining--) {
            addresses.put(in.text(), in.text());
        }
        return new Command.KnownEndpoint(endpoint, addresses, logPosition);
    }

    private static void writeAudit(Cbor.Writer out, Command.AppendAudit append) {
        out.text(append.pooler())
                .number(append.incarnation())
                .number(append.firstNumber())
                .number(append.entries().size());
        append.entries().forEach(out::bytes);
    }

    private static List<byte[]> readEntries(Cbor.Reader in) throws IOException {
        List<byte[]> entries = new ArrayList<>();
        for (int remaining = in.count(ReplicatedState.MAX_AUDIT_ENTRIES_PER_COMMAND); remaining > 0; remaining--) {
            entries.add(in.bytes());
        }
        return entries;
    }
}
