package lupinvalve.drills;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Random;

/**
 * Which faults are injected when: read from the text of a file or drawn from a seed, and written in the file's format
 * as a record of what was run. Does no I/O.
 *
 * @param poolers how many poolers; they are named p0, p1 and so on
 * @param groups how many db sets, each of three db nodes: n0 to n2, n3 to n5 and so on
 */
public record Scenario(int poolers, int groups, List<Step> steps) {
    /** How many db nodes a db set has. */
    public static final int NODES_PER_GROUP = 3;

    private static final int MIN_POOLERS = 3;
    private static final int MAX_POOLERS = 9;
    private static final int MAX_GROUPS = 4;
    private static final long MAX_MILLIS = 3_600_000;
    /** The steps of a wall clock that are drawn, in seconds. */
    private static final double[] CLOCK_STEPS_SECONDS = {-3_600, -5, -0.5, 0.5, 5, 3_600};

    private static final JsonFactory JSON = new JsonFactory();

    /** Checks all fields; throws IllegalArgumentException that names the invalid field and its value. */
    public Scenario {
        check(poolers >= MIN_POOLERS && poolers <= MAX_POOLERS, "poolers", poolers, MIN_POOLERS + " to " + MAX_POOLERS);
        check(groups >= 0 && groups <= MAX_GROUPS, "groups", groups, "0 to " + MAX_GROUPS);
        steps = steps.stream().sorted(Comparator.comparingLong(Step::atMillis)).toList();
        for (int i = 0; i < steps.size(); i++) {
            Step step = steps.get(i);
            String at = "steps[" + i + "].";
            check(
                    step.atMillis() >= 0 && step.atMillis() <= MAX_MILLIS,
                    at + "at_ms",
                    step.atMillis(),
                    "0 to " + MAX_MILLIS);
            check(
                    step.forMillis() >= 0 && step.forMillis() <= MAX_MILLIS,
                    at + "for_ms",
                    step.forMillis(),
                    "0 to " + MAX_MILLIS);
            boolean isWhoValid = step.kind().affectsNode()
                    ? isNode(step.who(), groups)
                    : isPooler(step.who(), poolers)
                            || step.who().equals(Step.LEADER)
                            || step.kind().mayAffectAll() && step.who().equals(Step.ALL);
            check(
                    isWhoValid,
                    at + "who",
                    step.who(),
                    step.kind().affectsNode() ? "a db node" : "a pooler, or " + Step.LEADER);
            boolean isToValid = step.kind().affectsConnection
                    ? isPooler(step.to(), poolers)
                            || isNode(step.to(), groups)
                            || step.to().equals(Step.ALL)
                    : step.to().isEmpty();
            check(
                    isToValid && !step.to().equals(step.who()),
                    at + "to",
                    step.to(),
                    step.kind().affectsConnection
                            ? "another pooler, a db node, or " + Step.ALL
                            : "none, as this kind has no other end");
            check(
                    step.kind().hasAmount
                            ? step.amount() > 0 || step.kind() == Step.Kind.CLOCK && step.amount() != 0
                            : step.amount() == 0,
                    at + "amount",
                    step.amount(),
                    step.kind().hasAmount ? "over 0" : "none, as this kind has none");
            check(
                    step.kind() != Step.Kind.LOSSY || step.amount() <= 1,
                    at + "amount",
                    step.amount(),
                    "a part, at most 1");
        }
    }

    private static void check(boolean valid, String field, Object value, String wanted) {
        if (!valid) {
            throw new IllegalArgumentException(field + " is " + value + "; possible: " + wanted);
        }
    }

    private static boolean isPooler(String name, int poolers) {
        return name.matches("p[0-9]") && Integer.parseInt(name.substring(1)) < poolers;
    }

    private static boolean isNode(String name, int groups) {
        return name.matches("n[0-9]{1,2}") && Integer.parseInt(name.substring(1)) < groups * NODES_PER_GROUP;
    }

    // ---- the file ----

    /** Reads a scenario; the IOException for an invalid one names the file, the field and the value. */
    public static Scenario read(String file, String text) throws IOException {
        int poolers = 0;
        int groups = 0;
        List<Step> steps = new ArrayList<>();
        try (JsonParser in = JSON.createParser(text)) {
            expectToken(in, in.nextToken(), JsonToken.START_OBJECT, "the file");
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String name = in.currentName();
                in.nextToken();
                switch (name) {
                    case "poolers" -> poolers = (int) wholeNumber(in, name);
                    case "groups" -> groups = (int) wholeNumber(in, name);
                    case "steps" -> {
                        expectToken(in, in.currentToken(), JsonToken.START_ARRAY, name);
                        while (in.nextToken() != JsonToken.END_ARRAY) {
                            steps.add(step(in, "steps[" + steps.size() + "]"));
                        }
                    }
                    default -> throw new IllegalArgumentException(name + " is unknown");
                }
            }
            return new Scenario(poolers, groups, steps);
        } catch (IOException | IllegalArgumentException e) {
            throw new IOException(
                    "scenario " + file + ": " + String.valueOf(e.getMessage()).split("\n")[0], e);
        }
    }

    private static Step step(JsonParser in, String at) throws IOException {
        expectToken(in, in.currentToken(), JsonToken.START_OBJECT, at);
        long atMillis = -1;
        long forMillis = 0;
        Step.Kind kind = null;
        String who = "";
        String to = "";
        double amount = 0;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            String field = at + "." + name;
            switch (name) {
                case "at_ms" -> atMillis = wholeNumber(in, field);
                case "for_ms" -> forMillis = wholeNumber(in, field);
                case "fault" -> kind = kind(in.getText(), field);
                case "who" -> who = in.getText();
                case "to" -> to = in.getText();
                case "amount" -> {
                    check(in.currentToken().isNumeric(), field, in.getText(), "a number");
                    amount = in.getDoubleValue();
                }
                default -> throw new IllegalArgumentException(field + " is unknown");
            }
        }
        check(kind != null, at + ".fault", "missing", kindNames());
        return new Step(atMillis, kind, who, to, amount, forMillis);
    }

    private static Step.Kind kind(String text, String field) {
        for (Step.Kind kind : Step.Kind.values()) {
            if (kind.name().toLowerCase(Locale.ROOT).equals(text)) {
                return kind;
            }
        }
        throw new IllegalArgumentException(field + " is " + text + "; possible: " + kindNames());
    }

    private static String kindNames() {
        return String.join(
                ", ",
                java.util.Arrays.stream(Step.Kind.values())
                        .map(kind -> kind.name().toLowerCase(Locale.ROOT))
                        .toList());
    }

    private static long wholeNumber(JsonParser in, String field) throws IOException {
        check(in.hasToken(JsonToken.VALUE_NUMBER_INT), field, in.getText(), "a whole number");
        return in.getLongValue();
    }

    private static void expectToken(JsonParser in, JsonToken token, JsonToken wanted, String field) throws IOException {
        check(
                token == wanted,
                field,
                token == null ? "empty" : in.getText(),
                wanted == JsonToken.START_ARRAY ? "an array" : "an object");
    }

    /** The scenario in the file's format, one step a line. */
    public String write() {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.writeStartObject();
            out.writeNumberField("poolers", poolers);
            out.writeNumberField("groups", groups);
            out.writeArrayFieldStart("steps");
            for (Step step : steps) {
                out.writeRaw('\n');
                out.writeStartObject();
                out.writeNumberField("at_ms", step.atMillis());
                out.writeStringField("fault", step.kind().name().toLowerCase(Locale.ROOT));
                out.writeStringField("who", step.who());
                if (!step.to().isEmpty()) {
                    out.writeStringField("to", step.to());
                }
                if (step.kind().hasAmount) {
                    out.writeNumberField("amount", step.amount());
                }
                out.writeNumberField("for_ms", step.forMillis());
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return text + "\n";
    }

    // ---- drawn ----

    /** Kinds of faults to draw from; a kind that is listed twice is drawn twice as often. */
    public enum Mix {
        /** Only the connections and processes of the group of poolers. */
        STORE(
                Step.Kind.KILL,
                Step.Kind.KILL,
                Step.Kind.PAUSE,
                Step.Kind.RESTART,
                Step.Kind.CUT,
                Step.Kind.CUT_THERE,
                Step.Kind.CUT,
                Step.Kind.POWER),
        /** Cuts of one direction. */
        ONE_WAY(Step.Kind.CUT_THERE),
        /** Faults that disconnect a pooler from the group, for the drill of the audit. */
        AUDIT(Step.Kind.KILL, Step.Kind.PAUSE, Step.Kind.PAUSE, Step.Kind.CUT, Step.Kind.CUT_THERE, Step.Kind.RESTART),
        /** Links that are cut and healed in turn. */
        FLAPPING(Step.Kind.FLAP),
        /** Kinds of all sorts, among them one-way cuts and flapping links. */
        ALL(
                Step.Kind.KILL,
                Step.Kind.KILL,
                Step.Kind.PAUSE,
                Step.Kind.PAUSE,
                Step.Kind.RESTART,
                Step.Kind.RESTART,
                Step.Kind.RELOAD,
                Step.Kind.CUT,
                Step.Kind.CUT_THERE,
                Step.Kind.CUT_THERE,
                Step.Kind.FLAP,
                Step.Kind.SLOW,
                Step.Kind.LOSSY,
                Step.Kind.LIMIT,
                Step.Kind.HALF_OPEN,
                Step.Kind.NODE_KILL,
                Step.Kind.NODE_PAUSE,
                Step.Kind.NODE_SLOW,
                Step.Kind.POWER),
        /**
         * Ends of poolers that coincide with other events: silent discovery watches, db nodes that drain or restart
         * cold, and releases.
         */
        CROSSING(
                Step.Kind.RESTART,
                Step.Kind.RESTART,
                Step.Kind.KILL,
                Step.Kind.RELOAD,
                Step.Kind.LIST_SILENT,
                Step.Kind.LIST_SILENT,
                Step.Kind.NODE_DRAIN,
                Step.Kind.NODE_DRAIN,
                Step.Kind.NODE_KILL,
                Step.Kind.NODE_SLOW),
        /**
         * Series of signals with early kills, clock steps, failing system calls and idle clients, together with drains,
         * silent discovery watches, dead db nodes and releases.
         */
        SOAK(
                Step.Kind.SIGNALS,
                Step.Kind.SIGNALS,
                Step.Kind.KILL,
                Step.Kind.RELOAD,
                Step.Kind.CLOCK,
                Step.Kind.CALLS,
                Step.Kind.CALLS,
                Step.Kind.CROWD,
                Step.Kind.LIST_SILENT,
                Step.Kind.NODE_DRAIN,
                Step.Kind.NODE_DRAIN,
                Step.Kind.NODE_KILL,
                Step.Kind.NODE_SLOW,
                Step.Kind.PAUSE);

        private final Step.Kind[] kinds;

        Mix(Step.Kind... kinds) {
            this.kinds = kinds;
        }
    }

    /**
     * Draws faults for a time in milliseconds from a seed. All are undone within that time, and only a minority of the
     * poolers is down at any time, except by POWER and in a release.
     */
    public static Scenario draw(Mix mix, int poolers, int groups, long millis, long seed) {
        Random random = new Random(seed);
        List<Step> steps = new ArrayList<>();
        long[] downUntil = new long[poolers];
        for (long at = 300 + random.nextInt(700); at < millis; at += 200 + random.nextInt(1100)) {
            Step.Kind kind = mix.kinds[random.nextInt(mix.kinds.length)];
            int pooler = random.nextInt(poolers);
            long until = Math.min(millis, at + 500 + random.nextInt(kind == Step.Kind.POWER ? 500 : 3500));
            long now = at;
            boolean mayStopOne =
                    java.util.Arrays.stream(downUntil).filter(d -> d > now).count() + 1 <= (poolers - 1) / 2;
            boolean isRunning = downUntil[pooler] <= at;
            if (kind.affectsNode() && groups == 0
                    || (kind.stopsProcess() || kind.restartsAtOnce()) && !(mayStopOne && isRunning)
                    || kind == Step.Kind.POWER && !mayStopOne) {
                continue;
            }
            if (kind == Step.Kind.RELOAD || kind == Step.Kind.LIST_SILENT) {
                steps.add(new Step(at, kind, "p" + pooler, "", 0, 0));
            } else if (kind == Step.Kind.POWER) {
                java.util.Arrays.fill(downUntil, until + 3_000);
                steps.add(new Step(at, kind, Step.ALL, "", 0, until - at));
            } else if (kind.affectsNode()) {
                steps.add(new Step(
                        at,
                        kind,
                        "n" + random.nextInt(groups * NODES_PER_GROUP),
                        "",
                        amount(kind, random),
                        until - at));
            } else if (kind.affectsConnection) {
                steps.add(new Step(
                        at,
                        kind,
                        "p" + pooler,
                        otherEnd(random, poolers, groups, pooler),
                        amount(kind, random),
                        until - at));
            } else if (kind.hasAmount) {
                steps.add(new Step(at, kind, "p" + pooler, "", amount(kind, random), until - at));
            } else {
                // One kill in three is of the leader, the most important case for the group.
                boolean isLeader = kind == Step.Kind.KILL && random.nextInt(3) == 0;
                downUntil[pooler] = until + 1_000;
                steps.add(new Step(
                        at,
                        kind,
                        isLeader ? Step.LEADER : "p" + pooler,
                        "",
                        0,
                        kind.restartsAtOnce() ? 0 : until - at));
            }
        }
        if (mix == Mix.CROSSING || mix == Mix.SOAK) {
            steps.addAll(Release.draw(poolers, groups, millis, seed));
        }
        if (mix == Mix.SOAK) {
            steps.addAll(Floods.draw(poolers, millis, seed));
        }
        return new Scenario(poolers, groups, steps);
    }

    private static String otherEnd(Random random, int poolers, int groups, int pooler) {
        int draw = random.nextInt(10);
        if (draw == 0) {
            return Step.ALL;
        } else if (draw < 5 && groups > 0) {
            return "n" + random.nextInt(groups * NODES_PER_GROUP);
        }
        return "p" + (pooler + 1 + random.nextInt(poolers - 1)) % poolers;
    }

    private static double amount(Step.Kind kind, Random random) {
        return switch (kind) {
            case FLAP -> 100 + random.nextInt(900);
            case SLOW -> 5 + random.nextInt(300);
            case LOSSY -> 0.02 + random.nextInt(20) / 100.0;
            case LIMIT -> 2_000 + random.nextInt(50_000);
            case NODE_SLOW -> 50 + random.nextInt(400);
            case CLOCK -> CLOCK_STEPS_SECONDS[random.nextInt(CLOCK_STEPS_SECONDS.length)];
            case CALLS -> 5 + random.nextInt(20);
            case CROWD -> 100 + random.nextInt(200);
            default -> 0;
        };
    }
}
