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
 * What faults come when: read from a file's text, or drawn from a seed, and written again as what was done. Without I/O
 * of its own.
 *
 * @param poolers how many poolers, p0 on
 * @param groups how many db sets, each of three db nodes: n0 to n2, n3 to n5 and so on
 */
public record Scenario(int poolers, int groups, List<Step> steps) {
    /** Db nodes of a set. */
    public static final int MEMBERS = 3;

    private static final int POOLERS_LEAST = 3, POOLERS_MOST = 9, GROUPS_MOST = 4;
    private static final long LONGEST = 3_600_000;
    /** By how many seconds a wall clock is stepped. */
    private static final double[] CLOCK_STEPS = {-3_600, -5, -0.5, 0.5, 5, 3_600};

    private static final JsonFactory JSON = new JsonFactory();

    /** Checks the whole; throws IllegalArgumentException with the field and its value. */
    public Scenario {
        check(
                poolers >= POOLERS_LEAST && poolers <= POOLERS_MOST,
                "poolers",
                poolers,
                POOLERS_LEAST + " to " + POOLERS_MOST);
        check(groups >= 0 && groups <= GROUPS_MOST, "groups", groups, "0 to " + GROUPS_MOST);
        steps = steps.stream().sorted(Comparator.comparingLong(Step::atMillis)).toList();
        for (int i = 0; i < steps.size(); i++) {
            Step s = steps.get(i);
            String at = "steps[" + i + "].";
            check(s.atMillis() >= 0 && s.atMillis() <= LONGEST, at + "at_ms", s.atMillis(), "0 to " + LONGEST);
            check(s.forMillis() >= 0 && s.forMillis() <= LONGEST, at + "for_ms", s.forMillis(), "0 to " + LONGEST);
            boolean whoIs = s.kind().ofNode()
                    ? isNode(s.who(), groups)
                    : isPooler(s.who(), poolers)
                            || s.who().equals(Step.LEADER)
                            || s.kind().ofAll() && s.who().equals(Step.ALL);
            check(whoIs, at + "who", s.who(), s.kind().ofNode() ? "a db node" : "a pooler, or " + Step.LEADER);
            boolean toIs = s.kind().between
                    ? isPooler(s.to(), poolers) || isNode(s.to(), groups) || s.to().equals(Step.ALL)
                    : s.to().isEmpty();
            check(
                    toIs && !s.to().equals(s.who()),
                    at + "to",
                    s.to(),
                    s.kind().between
                            ? "another pooler, a db node, or " + Step.ALL
                            : "none, as this kind has no other end");
            check(
                    s.kind().measured
                            ? s.amount() > 0 || s.kind() == Step.Kind.CLOCK && s.amount() != 0
                            : s.amount() == 0,
                    at + "amount",
                    s.amount(),
                    s.kind().measured ? "over 0" : "none, as this kind has none");
            check(s.kind() != Step.Kind.LOSSY || s.amount() <= 1, at + "amount", s.amount(), "a part, at most 1");
        }
    }

    private static void check(boolean holds, String field, Object value, String wanted) {
        if (!holds) {
            throw new IllegalArgumentException(field + " is " + value + "; possible: " + wanted);
        }
    }

    private static boolean isPooler(String name, int poolers) {
        return name.matches("p[0-9]") && Integer.parseInt(name.substring(1)) < poolers;
    }

    private static boolean isNode(String name, int groups) {
        return name.matches("n[0-9]{1,2}") && Integer.parseInt(name.substring(1)) < groups * MEMBERS;
    }

    // ---- the file ----

    /** Reads a scenario; complaints name the file, the field and the value. */
    public static Scenario read(String file, String text) throws IOException {
        int poolers = 0;
        int groups = 0;
        List<Step> steps = new ArrayList<>();
        try (JsonParser in = JSON.createParser(text)) {
            wants(in, in.nextToken(), JsonToken.START_OBJECT, "the file");
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String name = in.currentName();
                in.nextToken();
                switch (name) {
                    case "poolers" -> poolers = (int) whole(in, name);
                    case "groups" -> groups = (int) whole(in, name);
                    case "steps" -> {
                        wants(in, in.currentToken(), JsonToken.START_ARRAY, name);
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
        wants(in, in.currentToken(), JsonToken.START_OBJECT, at);
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
                case "at_ms" -> atMillis = whole(in, field);
                case "for_ms" -> forMillis = whole(in, field);
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
        check(kind != null, at + ".fault", "missing", names());
        return new Step(atMillis, kind, who, to, amount, forMillis);
    }

    private static Step.Kind kind(String text, String field) {
        for (Step.Kind kind : Step.Kind.values()) {
            if (kind.name().toLowerCase(Locale.ROOT).equals(text)) {
                return kind;
            }
        }
        throw new IllegalArgumentException(field + " is " + text + "; possible: " + names());
    }

    private static String names() {
        return String.join(
                ", ",
                java.util.Arrays.stream(Step.Kind.values())
                        .map(k -> k.name().toLowerCase(Locale.ROOT))
                        .toList());
    }

    private static long whole(JsonParser in, String field) throws IOException {
        check(in.hasToken(JsonToken.VALUE_NUMBER_INT), field, in.getText(), "a whole number");
        return in.getLongValue();
    }

    private static void wants(JsonParser in, JsonToken is, JsonToken wanted, String field) throws IOException {
        check(
                is == wanted,
                field,
                is == null ? "empty" : in.getText(),
                wanted == JsonToken.START_ARRAY ? "an array" : "an object");
    }

    /** The same in the file's form, a step a line. */
    public String write() {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.writeStartObject();
            out.writeNumberField("poolers", poolers);
            out.writeNumberField("groups", groups);
            out.writeArrayFieldStart("steps");
            for (Step s : steps) {
                out.writeRaw('\n');
                out.writeStartObject();
                out.writeNumberField("at_ms", s.atMillis());
                out.writeStringField("fault", s.kind().name().toLowerCase(Locale.ROOT));
                out.writeStringField("who", s.who());
                if (!s.to().isEmpty()) {
                    out.writeStringField("to", s.to());
                }
                if (s.kind().measured) {
                    out.writeNumberField("amount", s.amount());
                }
                out.writeNumberField("for_ms", s.forMillis());
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

    /** Weights of the kinds in a draw; the mix of all holds one-way cuts and flapping links as cases of their own. */
    public enum Mix {
        /** The group's own connections and processes alone. */
        STORE(
                Step.Kind.KILL,
                Step.Kind.KILL,
                Step.Kind.PAUSE,
                Step.Kind.RESTART,
                Step.Kind.CUT,
                Step.Kind.CUT_THERE,
                Step.Kind.CUT,
                Step.Kind.POWER),
        /** Cuts that one side alone notices. */
        ONE_WAY(Step.Kind.CUT_THERE),
        /** What separates a pooler from the group: for the audit. */
        AUDIT(Step.Kind.KILL, Step.Kind.PAUSE, Step.Kind.PAUSE, Step.Kind.CUT, Step.Kind.CUT_THERE, Step.Kind.RESTART),
        /** Links that come and go. */
        FLAPPING(Step.Kind.FLAP),
        /** All there is. */
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
         * Ends that are crossed by others: poolers told to end, silent lists, db nodes that drain or come back cold;
         * and releases.
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
         * Signals in series with early kills, clocks, calls and crowds beside drains, silent lists, dead db nodes and a
         * release.
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
     * Faults for so long, drawn by a seed; all end before it is over, and a minority of the poolers is down at a time
     * but at a loss of power and in a release.
     */
    public static Scenario draw(Mix mix, int poolers, int groups, long millis, long seed) {
        Random random = new Random(seed);
        List<Step> steps = new ArrayList<>();
        long[] downUntil = new long[poolers];
        for (long at = 300 + random.nextInt(700); at < millis; at += 200 + random.nextInt(1100)) {
            Step.Kind kind = mix.kinds[random.nextInt(mix.kinds.length)];
            int one = random.nextInt(poolers);
            long until = Math.min(millis, at + 500 + random.nextInt(kind == Step.Kind.POWER ? 500 : 3500));
            long now = at;
            boolean spare =
                    java.util.Arrays.stream(downUntil).filter(d -> d > now).count() + 1 <= (poolers - 1) / 2;
            boolean up = downUntil[one] <= at;
            if (kind.ofNode() && groups == 0
                    || (kind.downs() || kind.ends()) && !(spare && up)
                    || kind == Step.Kind.POWER && !spare) {
                continue;
            }
            if (kind == Step.Kind.RELOAD || kind == Step.Kind.LIST_SILENT) {
                steps.add(new Step(at, kind, "p" + one, "", 0, 0));
            } else if (kind == Step.Kind.POWER) {
                java.util.Arrays.fill(downUntil, until + 3_000);
                steps.add(new Step(at, kind, Step.ALL, "", 0, until - at));
            } else if (kind.ofNode()) {
                steps.add(new Step(
                        at, kind, "n" + random.nextInt(groups * MEMBERS), "", amount(kind, random), until - at));
            } else if (kind.between) {
                steps.add(new Step(
                        at, kind, "p" + one, other(random, poolers, groups, one), amount(kind, random), until - at));
            } else if (kind.measured) {
                steps.add(new Step(at, kind, "p" + one, "", amount(kind, random), until - at));
            } else {
                // A leader's end is the case that matters most.
                boolean leads = kind == Step.Kind.KILL && random.nextInt(3) == 0;
                downUntil[one] = until + 1_000;
                steps.add(new Step(at, kind, leads ? Step.LEADER : "p" + one, "", 0, kind.ends() ? 0 : until - at));
            }
        }
        if (mix == Mix.CROSSING || mix == Mix.SOAK) {
            steps.addAll(Release.draw(poolers, groups, millis, seed));
        }
        return new Scenario(poolers, groups, steps);
    }

    private static String other(Random random, int poolers, int groups, int one) {
        int draw = random.nextInt(10);
        if (draw == 0) {
            return Step.ALL;
        } else if (draw < 5 && groups > 0) {
            return "n" + random.nextInt(groups * MEMBERS);
        }
        return "p" + (one + 1 + random.nextInt(poolers - 1)) % poolers;
    }

    private static double amount(Step.Kind kind, Random random) {
        return switch (kind) {
            case FLAP -> 100 + random.nextInt(900);
            case SLOW -> 5 + random.nextInt(300);
            case LOSSY -> 0.02 + random.nextInt(20) / 100.0;
            case LIMIT -> 2_000 + random.nextInt(50_000);
            case NODE_SLOW -> 50 + random.nextInt(400);
            case CLOCK -> CLOCK_STEPS[random.nextInt(CLOCK_STEPS.length)];
            case CALLS -> 5 + random.nextInt(20);
            case CROWD -> 100 + random.nextInt(200);
            default -> 0;
        };
    }
}
