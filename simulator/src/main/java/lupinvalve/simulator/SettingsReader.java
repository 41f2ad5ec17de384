package lupinvalve.simulator;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import lupinvalve.routing.RequestClass;
import lupinvalve.routing.RouterSettings;

/** Reads the settings of a start; unknown ones are skipped. */
public final class SettingsReader {
    private SettingsReader() {}

    /**
     * The settings as a real pooler needs them.
     *
     * @param connectMicros a connection not up within this time is given up
     * @param keepaliveMicros an idle connection is closed by the db node after this time
     * @param ratePerSecond requests that one pooler may expect: the tenants' shares, over all poolers; 0 where none
     *     says
     */
    public record Site(
            RouterSettings settings,
            long connectMicros,
            long keepaliveMicros,
            List<String> zones,
            double ratePerSecond) {
        /** The same with at most so many requests open. */
        public Site withOpen(long most) {
            RouterSettings s = settings;
            RouterSettings.SiteLimits l = s.limits();
            return new Site(
                    new RouterSettings(
                            s.instanceIndex(),
                            s.instanceCount(),
                            s.zone(),
                            s.mustSubscribe(),
                            s.classes(),
                            new RouterSettings.SiteLimits(
                                    l.maxAttempts(),
                                    l.parallelAttempts(),
                                    l.cancel(),
                                    l.probe(),
                                    l.retryAfter(),
                                    l.maxRetryAfterMicros(),
                                    Math.min(l.maxOpenRequests(), most)),
                            s.rules(),
                            s.replication(),
                            s.crossZonePrice()),
                    connectMicros,
                    keepaliveMicros,
                    zones,
                    ratePerSecond);
        }
    }

    /** Reads the settings object that the parser stands at. */
    public static Site read(JsonParser in) throws IOException {
        Fields env = new Fields("settings", BatchReader.object(in));
        Fields limits = env.object("ceilings");
        List<String> zones = new ArrayList<>();
        env.arrayOrEmpty("dcs").forEach(zone -> zones.add(String.valueOf(zone)));
        double rate = 0;
        for (Object project : env.arrayOrEmpty("projects")) {
            rate += env.inner("projects", project).numberOr("quota_per_s", 0);
        }
        RouterSettings settings = read(env);
        return new Site(
                settings,
                time(limits, "connect_timeout_us", 250_000),
                time(limits, "keepalive_us", 15_000_000),
                zones,
                rate / settings.instanceCount());
    }

    private static long time(Fields limits, String name, long other) {
        long micros = limits.wholeOr(name, other);
        if (micros <= 0) {
            throw limits.wrong(name, "is no time");
        }
        return micros;
    }

    /** A count that may be as good as unbounded. */
    private static int count(long value) {
        return (int) Math.max(Integer.MIN_VALUE, Math.min(Integer.MAX_VALUE, value));
    }

    static RouterSettings read(Fields env) {
        Fields limits = env.object("ceilings");
        Fields rules = env.object("guarantees");
        Fields family = env.object("specifics");
        try {
            return new RouterSettings(
                    count(env.whole("me")),
                    count(env.whole("n_instances")),
                    count(env.wholeOr("zone", 0)),
                    env.text("registry_mode").equals("subscribe"),
                    classes(env, family),
                    new RouterSettings.SiteLimits(
                            count(limits.whole("attempts_cap")),
                            limits.flagOr("parallel_tries", false),
                            limits.flagOr("may_cancel", false),
                            limits.flagOr("may_probe", false),
                            limits.flagOr("retry_after", false),
                            limits.wholeOr("max_retry_after_us", 0),
                            limits.wholeOr("max_open", Integer.MAX_VALUE)),
                    new RouterSettings.Rules(
                            rules.wholeOr("answer_slack_us", 0),
                            rules.whole("stop_sending_within_us"),
                            rules.wholeOr("ask_within_us", 0),
                            rules.number("cold_from"),
                            rules.whole("ramp_time_us"),
                            rules.number("fall_multiple"),
                            rules.whole("fall_us")),
                    new RouterSettings.Replication(check(family), family.wholeOr("wait_us", 0), tokens(family)),
                    env.has("prices") ? env.object("prices").numberOr("cross_zone", 0) : 0);
        } catch (IllegalArgumentException e) {
            throw new WireException("message UP env: " + e.getMessage());
        }
    }

    private static List<RequestClass> classes(Fields env, Fields family) {
        List<RequestClass> classes = new ArrayList<>();
        List<Object> reads = family.array("class_read");
        List<Object> bounds = family.arrayOrEmpty("oldest_data_us");
        List<Object> entries = env.array("classes");
        if (reads.size() != entries.size()) {
            throw family.wrong("class_read", "has not one entry for each class");
        }
        for (int i = 0; i < entries.size(); i++) {
            Fields entry = env.inner("classes", entries.get(i));
            Object bound = i < bounds.size() ? bounds.get(i) : Long.valueOf(0);
            if (!(bound instanceof Number number)) {
                throw family.wrong("oldest_data_us", "holds an entry that is not a number");
            }
            classes.add(new RequestClass(
                    entry.text("name"),
                    access(family, reads.get(i)),
                    number.longValue(),
                    effect(entry),
                    scope(entry),
                    entry.wholeOr("key_ttl_us", 0),
                    entry.whole("aim_us"),
                    entry.whole("deadline_us"),
                    entry.numberOr("worth", 1),
                    entry.numberOr("late_value", 0)));
        }
        return classes;
    }

    private static RequestClass.Access access(Fields family, Object word) {
        return switch (String.valueOf(word)) {
            case "mutate" -> RequestClass.Access.WRITE;
            case "strong" -> RequestClass.Access.STRONG;
            case "causal" -> RequestClass.Access.SESSION;
            case "lag_bound" -> RequestClass.Access.BOUNDED;
            case "eventual" -> RequestClass.Access.ANY;
            default -> throw family.wrong("class_read", "holds an unknown kind of read");
        };
    }

    private static RequestClass.Effect effect(Fields entry) {
        return switch (entry.text("effect")) {
            case "safe" -> RequestClass.Effect.SAFE;
            case "keyed" -> RequestClass.Effect.KEYED;
            case "unsafe" -> RequestClass.Effect.UNSAFE;
            default -> throw entry.wrong("effect", "is none of safe, keyed, unsafe");
        };
    }

    private static RequestClass.KeyScope scope(Fields entry) {
        String word = entry.textOrNull("group");
        return switch (word == null ? "all" : word) {
            case "all" -> RequestClass.KeyScope.ALL;
            case "zone" -> RequestClass.KeyScope.ZONE;
            case "cell" -> RequestClass.KeyScope.GROUP;
            default -> throw entry.wrong("group", "is none of all, zone, cell");
        };
    }

    private static RouterSettings.FreshnessCheck check(Fields family) {
        return switch (family.text("server_checks")) {
            case "silent" -> RouterSettings.FreshnessCheck.SILENT;
            case "bounce" -> RouterSettings.FreshnessCheck.BOUNCE;
            case "await" -> RouterSettings.FreshnessCheck.AWAIT;
            default -> throw family.wrong("server_checks", "is none of silent, bounce, await");
        };
    }

    private static RouterSettings.TokenSource tokens(Fields family) {
        return switch (family.text("session_marks")) {
            case "brought" -> RouterSettings.TokenSource.CARRIED;
            case "kept" -> RouterSettings.TokenSource.REMEMBERED;
            default -> throw family.wrong("session_marks", "is neither brought nor kept");
        };
    }
}
