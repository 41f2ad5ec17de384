package lupinvalve.simulator;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import lupinvalve.routing.RequestClass;
import lupinvalve.routing.RouterSettings;

/** Maps the JSON settings object to {@link RouterSettings}; unknown keys are skipped. Stateless. */
public final class SettingsReader {
    private static final long DEFAULT_CONNECT_TIMEOUT_MICROS = 250_000;
    private static final long DEFAULT_KEEPALIVE_MICROS = 15_000_000;

    private SettingsReader() {}

    /**
     * The settings of a daemon: those of its router and of its connections to db nodes.
     *
     * @param connectMicros timeout of connecting to a db node, in microseconds
     * @param keepaliveMicros microseconds after which a db node closes an idle connection
     * @param zones the names of zones, in the settings' order
     * @param ratePerSecond the sum of the tenants' quotas in requests per second, divided by the number of poolers; 0
     *     if no quota is set
     */
    public record Site(
            RouterSettings settings,
            long connectMicros,
            long keepaliveMicros,
            List<String> zones,
            double ratePerSecond) {
        /** A copy whose limit of open requests is at most {@code maxOpenRequests}. */
        public Site withMaxOpenRequests(long maxOpenRequests) {
            RouterSettings.DeploymentLimits limits = settings.limits();
            return new Site(
                    new RouterSettings(
                            settings.instanceIndex(),
                            settings.instanceCount(),
                            settings.zone(),
                            settings.mustSubscribe(),
                            settings.classes(),
                            new RouterSettings.DeploymentLimits(
                                    limits.maxAttempts(),
                                    limits.parallelAttempts(),
                                    limits.cancel(),
                                    limits.probe(),
                                    limits.retryAfter(),
                                    limits.maxRetryAfterMicros(),
                                    Math.min(limits.maxOpenRequests(), maxOpenRequests)),
                            settings.rules(),
                            settings.replication(),
                            settings.crossZonePrice()),
                    connectMicros,
                    keepaliveMicros,
                    zones,
                    ratePerSecond);
        }
    }

    /**
     * Reads the settings object whose start the parser has just read.
     *
     * @throws WireException if a field is missing or not allowed
     * @throws IOException if the parser fails or the text is not JSON
     */
    public static Site read(JsonParser in) throws IOException {
        MessageFields env = new MessageFields("settings", JsonValues.object(in));
        MessageFields limits = env.object("ceilings");
        List<String> zones = new ArrayList<>();
        env.arrayOrEmpty("dcs").forEach(zone -> zones.add(String.valueOf(zone)));
        double quotaPerSecond = 0;
        for (Object tenant : env.arrayOrEmpty("projects")) {
            quotaPerSecond += env.nested("projects", tenant).numberOr("quota_per_s", 0);
        }
        RouterSettings settings = read(env);
        return new Site(
                settings,
                positiveMicros(limits, "connect_timeout_us", DEFAULT_CONNECT_TIMEOUT_MICROS),
                positiveMicros(limits, "keepalive_us", DEFAULT_KEEPALIVE_MICROS),
                zones,
                quotaPerSecond / settings.instanceCount());
    }

    private static long positiveMicros(MessageFields limits, String name, long defaultMicros) {
        long micros = limits.integerOr(name, defaultMicros);
        if (micros <= 0) {
            throw limits.invalid(name, "is not a positive number of microseconds");
        }
        return micros;
    }

    /** Clamps a count to the range of an int: the wire encodes an unbounded count as a larger number. */
    private static int count(long value) {
        return (int) Math.max(Integer.MIN_VALUE, Math.min(Integer.MAX_VALUE, value));
    }

    /** Reads the settings of a router from the {@code env} field of the message that starts it. */
    static RouterSettings read(MessageFields env) {
        MessageFields limits = env.object("ceilings");
        MessageFields rules = env.object("guarantees");
        MessageFields specifics = env.object("specifics");
        try {
            return new RouterSettings(
                    count(env.integer("me")),
                    count(env.integer("n_instances")),
                    count(env.integerOr("zone", 0)),
                    env.text("registry_mode").equals("subscribe"),
                    classes(env, specifics),
                    new RouterSettings.DeploymentLimits(
                            count(limits.integer("attempts_cap")),
                            limits.flagOr("parallel_tries", false),
                            limits.flagOr("may_cancel", false),
                            limits.flagOr("may_probe", false),
                            limits.flagOr("retry_after", false),
                            limits.integerOr("max_retry_after_us", 0),
                            limits.integerOr("max_open", Integer.MAX_VALUE)),
                    new RouterSettings.Rules(
                            rules.integerOr("answer_slack_us", 0),
                            rules.integer("stop_sending_within_us"),
                            rules.integerOr("ask_within_us", 0),
                            rules.number("cold_from"),
                            rules.integer("ramp_time_us"),
                            rules.number("fall_multiple"),
                            rules.integer("fall_us")),
                    new RouterSettings.Replication(
                            freshnessCheck(specifics), specifics.integerOr("wait_us", 0), tokenSource(specifics)),
                    env.has("prices") ? env.object("prices").numberOr("cross_zone", 0) : 0);
        } catch (IllegalArgumentException e) {
            throw new WireException("message UP env: " + e.getMessage());
        }
    }

    private static List<RequestClass> classes(MessageFields env, MessageFields specifics) {
        List<RequestClass> classes = new ArrayList<>();
        List<Object> accesses = specifics.array("class_read");
        List<Object> maxAges = specifics.arrayOrEmpty("oldest_data_us");
        List<Object> entries = env.array("classes");
        if (accesses.size() != entries.size()) {
            throw specifics.invalid("class_read", "does not have one entry per class");
        }
        for (int i = 0; i < entries.size(); i++) {
            MessageFields entry = env.nested("classes", entries.get(i));
            Object maxAge = i < maxAges.size() ? maxAges.get(i) : Long.valueOf(0);
            if (!(maxAge instanceof Number number)) {
                throw specifics.invalid("oldest_data_us", "contains an entry that is not a number");
            }
            classes.add(new RequestClass(
                    entry.text("name"),
                    access(specifics, accesses.get(i)),
                    number.longValue(),
                    effect(entry),
                    keyScope(entry),
                    entry.integerOr("key_ttl_us", 0),
                    entry.integer("aim_us"),
                    entry.integer("deadline_us"),
                    entry.numberOr("worth", 1),
                    entry.numberOr("late_value", 0)));
        }
        return classes;
    }

    private static RequestClass.Access access(MessageFields specifics, Object read) {
        return switch (String.valueOf(read)) {
            case "mutate" -> RequestClass.Access.WRITE;
            case "strong" -> RequestClass.Access.STRONG;
            case "causal" -> RequestClass.Access.SESSION;
            case "lag_bound" -> RequestClass.Access.BOUNDED;
            case "eventual" -> RequestClass.Access.ANY;
            default -> throw specifics.invalid("class_read", "contains an unknown kind of read");
        };
    }

    private static RequestClass.Effect effect(MessageFields entry) {
        return switch (entry.text("effect")) {
            case "safe" -> RequestClass.Effect.SAFE;
            case "keyed" -> RequestClass.Effect.KEYED;
            case "unsafe" -> RequestClass.Effect.UNSAFE;
            default -> throw entry.invalid("effect", "is none of safe, keyed, unsafe");
        };
    }

    private static RequestClass.KeyScope keyScope(MessageFields entry) {
        String group = entry.textOrNull("group");
        return switch (group == null ? "all" : group) {
            case "all" -> RequestClass.KeyScope.ALL;
            case "zone" -> RequestClass.KeyScope.ZONE;
            case "cell" -> RequestClass.KeyScope.GROUP;
            default -> throw entry.invalid("group", "is none of all, zone, cell");
        };
    }

    private static RouterSettings.FreshnessCheck freshnessCheck(MessageFields specifics) {
        return switch (specifics.text("server_checks")) {
            case "silent" -> RouterSettings.FreshnessCheck.SILENT;
            case "bounce" -> RouterSettings.FreshnessCheck.BOUNCE;
            case "await" -> RouterSettings.FreshnessCheck.AWAIT;
            default -> throw specifics.invalid("server_checks", "is none of silent, bounce, await");
        };
    }

    private static RouterSettings.TokenSource tokenSource(MessageFields specifics) {
        return switch (specifics.text("session_marks")) {
            case "brought" -> RouterSettings.TokenSource.CARRIED;
            case "kept" -> RouterSettings.TokenSource.REMEMBERED;
            default -> throw specifics.invalid("session_marks", "is neither brought nor kept");
        };
    }
}
