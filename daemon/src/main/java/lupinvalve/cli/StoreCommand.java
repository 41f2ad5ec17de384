package lupinvalve.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lupinvalve.config.OperatorConfig;
import lupinvalve.log.Log;
import lupinvalve.replication.FolderVerification;
import lupinvalve.replication.GroupClient;
import lupinvalve.replication.WireMessages;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * What operators ask of the group that keeps the configuration. Exit codes: 0 done, 1 refused, 2 a wrong command line,
 * 3 another revision holds, 4 it may have happened, 5 nobody could answer in time and nothing has happened.
 */
public final class StoreCommand implements Main.Command {
    static final int CONFLICT = 3, MAY_HAVE = 4, NOBODY = 5;

    @Argument(
            index = 0,
            required = true,
            metaVar = "CALL",
            usage = "status, get, put, members, add, remove, hold, release, holds, snapshot, audit, verify or keys")
    private String call;

    @Argument(index = 1, multiValued = true, metaVar = "WHAT")
    private List<String> what = new ArrayList<>();

    @Option(name = "--operator", metaVar = "FILE", usage = "a member's operator's file: whom to ask, and how")
    private Path operator;

    @Option(name = "--revision", metaVar = "N", usage = "put: the revision that is to be replaced; 0 for the first")
    private Long revision;

    @Option(name = "--why", metaVar = "TEXT", usage = "hold: for those who look later")
    private String why = "";

    @Option(name = "--strict", usage = "put, hold, release: done only once nobody acts on what held before")
    private boolean strict;

    @Option(name = "--show-secrets", usage = "get, verify: passwords and keys as they are")
    private boolean secrets;

    @Option(name = "--json", usage = "one JSON object")
    private boolean json;

    @Option(name = "--seconds", metaVar = "N", usage = "how long to try")
    private int seconds = 10;

    /** For tests; the system's else. */
    PrintStream out = System.out, err = System.err;

    @Override
    public int run() throws Exception {
        Log.setLevel(Log.Level.ERROR);
        if (call.equals("keys")) {
            Keys.make(Path.of(argument(0, "a folder")), what.subList(1, what.size()));
            out.println("keys are in " + what.get(0) + "; keep authority.key somewhere else");
            return 0;
        }
        if (call.equals("verify")) {
            return print(FolderVerification.verify(Path.of(argument(0, "a folder")), secrets));
        }
        if (call.equals("audit") && !what.isEmpty() && what.get(0).equals("verify")) {
            return print(FolderVerification.verifyAudit(Path.of(argument(1, "a folder"))));
        }
        if (operator == null) {
            throw new IllegalArgumentException("store " + call + " needs --operator FILE");
        }
        OperatorConfig.Store store =
                OperatorConfig.read(Files.readAllBytes(operator)).store();
        if (store == null) {
            throw new IllegalArgumentException(operator + ": store is missing");
        }
        Map<String, String> members = new LinkedHashMap<>();
        boolean subscriber = store.role() == OperatorConfig.Role.SUBSCRIBER;
        if (subscriber && call.equals("status")) {
            throw new IllegalArgumentException(
                    operator + ": " + store.name() + " is a subscriber and can't be asked; its log has it");
        }
        if (!subscriber) {
            members.put(store.name(), store.listen());
        }
        if (!call.equals("status")) {
            store.members().forEach(members::putIfAbsent);
        }
        GroupClient client = new GroupClient(store.cluster(), members, store.tls());
        List<byte[]> arguments = new ArrayList<>();
        switch (call) {
            case "status", "members", "holds", "snapshot" -> {
                // Nothing more to say.
            }
            case "audit" -> what.forEach(word -> arguments.add(bytes(word)));
            case "get" -> arguments.add(bytes(secrets ? "bare" : ""));
            case "put" -> put(arguments);
            case "add", "remove" -> arguments.add(bytes(argument(0, "a member's name")));
            case "hold" -> holding(arguments).add(bytes(why));
            case "release" -> holding(arguments);
            default -> {
                err.println("lupinvalve: no such call: " + call);
                return 2;
            }
        }
        if (strict) {
            arguments.add(bytes("strict"));
        }
        GroupClient.Result said = client.call(call, arguments, !call.equals("put"), 1000L * seconds);
        if (said.status() == WireMessages.Status.OK) {
            return print(said.text());
        }
        err.println("lupinvalve: " + said.text());
        return switch (said.status()) {
            case CONFLICT -> CONFLICT;
            case INDETERMINATE -> MAY_HAVE;
            case RETRY -> NOBODY;
            default -> 1;
        };
    }

    private void put(List<byte[]> arguments) throws IOException {
        if (revision == null) {
            throw new IllegalArgumentException("store put needs --revision N: the one that is to be replaced");
        }
        byte[] document = Files.readAllBytes(Path.of(argument(0, "a file")));
        String objection = OperatorConfig.validationError(document).orElse(null);
        if (objection != null) {
            throw new IllegalArgumentException(what.get(0) + ": " + objection);
        }
        arguments.add(bytes(Long.toString(revision)));
        arguments.add(document);
    }

    private List<byte[]> holding(List<byte[]> arguments) {
        arguments.add(bytes(argument(0, "node or pooler")));
        arguments.add(bytes(argument(1, "a name")));
        return arguments;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private String argument(int at, String kind) {
        if (what.size() <= at) {
            throw new IllegalArgumentException("store " + call + " needs " + kind);
        }
        return what.get(at);
    }

    private int print(String text) throws IOException {
        out.println(json ? text : lines(text));
        return 0;
    }

    /** One fact a line: the path to it, and the value. */
    static String lines(String text) throws IOException {
        StringBuilder lines = new StringBuilder();
        Deque<Integer> positions = new ArrayDeque<>();
        Deque<String> path = new ArrayDeque<>();
        try (JsonParser in = new JsonFactory().createParser(text)) {
            for (JsonToken token = in.nextToken(); token != null; token = in.nextToken()) {
                boolean listed = in.getParsingContext().inArray() && !positions.isEmpty();
                switch (token) {
                    case START_OBJECT, START_ARRAY -> {
                        boolean inList = in.getParsingContext().getParent() != null
                                && in.getParsingContext().getParent().inArray();
                        path.addLast(
                                inList
                                        ? Integer.toString(next(positions))
                                        : in.currentName() == null ? "" : in.currentName());
                        positions.addLast(0);
                    }
                    case END_OBJECT, END_ARRAY -> {
                        path.removeLast();
                        positions.removeLast();
                    }
                    case FIELD_NAME -> {
                        // It comes again with its value.
                    }
                    default -> {
                        String at = String.join(".", path) + "."
                                + (listed ? Integer.toString(next(positions)) : in.currentName());
                        lines.append(lines.isEmpty() ? "" : "\n")
                                .append(at.replaceAll("^\\.+", ""))
                                .append(": ")
                                .append(in.getText());
                    }
                }
            }
        }
        return lines.toString();
    }

    private static int next(Deque<Integer> positions) {
        int at = positions.removeLast();
        positions.addLast(at + 1);
        return at;
    }
}
