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
 * Operators' commands to the group that stores the configuration. Exit codes: 0 success, 1 rejected, 2 invalid command
 * line, 3 another revision is in force, 4 indeterminate: the change may have been committed, 5 no member could answer
 * in time and nothing was changed.
 */
public final class StoreCommand implements Main.Command {
    static final int EXIT_CONFLICT = 3;
    static final int EXIT_INDETERMINATE = 4;
    static final int EXIT_UNAVAILABLE = 5;
    private static final long MILLIS_PER_SECOND = 1000L;

    @Argument(
            index = 0,
            required = true,
            metaVar = "CALL",
            usage = "status, get, put, members, add, remove, hold, release, holds, snapshot, audit, verify or keys")
    private String call;

    @Argument(index = 1, multiValued = true, metaVar = "WHAT")
    private List<String> operands = new ArrayList<>();

    @Option(
            name = "--operator",
            metaVar = "FILE",
            usage = "a member's operator file: addresses of the members, and TLS")
    private Path operator;

    @Option(name = "--revision", metaVar = "N", usage = "put: the revision to replace; 0 for the first document")
    private Long revision;

    @Option(name = "--why", metaVar = "TEXT", usage = "hold: the reason, which is stored with it")
    private String reason = "";

    @Option(name = "--strict", usage = "put, hold, release: wait until no pooler acts on the previous state")
    private boolean strict;

    @Option(name = "--show-secrets", usage = "get, verify: print passwords and keys in clear text")
    private boolean showSecrets;

    @Option(name = "--json", usage = "print one JSON object")
    private boolean json;

    @Option(name = "--seconds", metaVar = "N", usage = "timeout in seconds")
    private int seconds = 10;

    /** Replaced by tests. */
    PrintStream out = System.out;

    PrintStream err = System.err;

    @Override
    public int run() throws Exception {
        Log.setLevel(Log.Level.ERROR);
        if (call.equals("keys")) {
            Keys.generate(Path.of(argument(0, "a folder")), operands.subList(1, operands.size()));
            out.println("keys are in " + operands.get(0) + "; keep authority.key somewhere else");
            return 0;
        }
        if (call.equals("verify")) {
            return print(FolderVerification.verify(Path.of(argument(0, "a folder")), showSecrets));
        }
        if (call.equals("audit") && !operands.isEmpty() && operands.get(0).equals("verify")) {
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
                // No arguments.
            }
            case "audit" -> operands.forEach(operand -> arguments.add(utf8(operand)));
            case "get" -> arguments.add(utf8(showSecrets ? "bare" : ""));
            case "put" -> put(arguments);
            case "add", "remove" -> arguments.add(utf8(argument(0, "a member's name")));
            case "hold" -> addDrainTarget(arguments).add(utf8(reason));
            case "release" -> addDrainTarget(arguments);
            default -> {
                err.println("lupinvalve: no such call: " + call);
                return 2;
            }
        }
        if (strict) {
            arguments.add(utf8("strict"));
        }
        GroupClient.Result result = client.call(call, arguments, !call.equals("put"), MILLIS_PER_SECOND * seconds);
        if (result.status() == WireMessages.Status.OK) {
            return print(result.text());
        }
        err.println("lupinvalve: " + result.text());
        return switch (result.status()) {
            case CONFLICT -> EXIT_CONFLICT;
            case INDETERMINATE -> EXIT_INDETERMINATE;
            case RETRY -> EXIT_UNAVAILABLE;
            default -> 1;
        };
    }

    private void put(List<byte[]> arguments) throws IOException {
        if (revision == null) {
            throw new IllegalArgumentException("store put needs --revision N: the one that is to be replaced");
        }
        byte[] document = Files.readAllBytes(Path.of(argument(0, "a file")));
        String validationError = OperatorConfig.validationError(document).orElse(null);
        if (validationError != null) {
            throw new IllegalArgumentException(operands.get(0) + ": " + validationError);
        }
        arguments.add(utf8(Long.toString(revision)));
        arguments.add(document);
    }

    private List<byte[]> addDrainTarget(List<byte[]> arguments) {
        arguments.add(utf8(argument(0, "node or pooler")));
        arguments.add(utf8(argument(1, "a name")));
        return arguments;
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private String argument(int index, String kind) {
        if (operands.size() <= index) {
            throw new IllegalArgumentException("store " + call + " needs " + kind);
        }
        return operands.get(index);
    }

    private int print(String text) throws IOException {
        out.println(json ? text : toLines(text));
        return 0;
    }

    /** Formats JSON as one line for each value: its path and the value. */
    static String toLines(String text) throws IOException {
        StringBuilder lines = new StringBuilder();
        Deque<Integer> arrayIndexes = new ArrayDeque<>();
        Deque<String> path = new ArrayDeque<>();
        try (JsonParser in = new JsonFactory().createParser(text)) {
            for (JsonToken token = in.nextToken(); token != null; token = in.nextToken()) {
                boolean valueInArray = in.getParsingContext().inArray() && !arrayIndexes.isEmpty();
                switch (token) {
                    case START_OBJECT, START_ARRAY -> {
                        boolean containerInArray = in.getParsingContext().getParent() != null
                                && in.getParsingContext().getParent().inArray();
                        path.addLast(
                                containerInArray
                                        ? Integer.toString(nextIndex(arrayIndexes))
                                        : in.currentName() == null ? "" : in.currentName());
                        arrayIndexes.addLast(0);
                    }
                    case END_OBJECT, END_ARRAY -> {
                        path.removeLast();
                        arrayIndexes.removeLast();
                    }
                    case FIELD_NAME -> {
                        // The name is read together with its value.
                    }
                    default -> {
                        String valuePath = String.join(".", path) + "."
                                + (valueInArray ? Integer.toString(nextIndex(arrayIndexes)) : in.currentName());
                        lines.append(lines.isEmpty() ? "" : "\n")
                                .append(valuePath.replaceAll("^\\.+", ""))
                                .append(": ")
                                .append(in.getText());
                    }
                }
            }
        }
        return lines.toString();
    }

    private static int nextIndex(Deque<Integer> arrayIndexes) {
        int index = arrayIndexes.removeLast();
        arrayIndexes.addLast(index + 1);
        return index;
    }
}
