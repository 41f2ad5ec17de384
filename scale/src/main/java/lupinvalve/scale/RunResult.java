package lupinvalve.scale;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;

/**
 * Result of a run.
 *
 * @param fenced pairs of a change and a pooler that had lost the right to act before the change was in force there
 * @param kinds messages and bytes per second between poolers and members, summed over all poolers, by kind of message
 */
record RunResult(
        RunSpec spec,
        Metrics metrics,
        int changes,
        int restarts,
        int divergent,
        int lost,
        long unfencedLate,
        long fenced,
        List<String> over,
        List<String> findings,
        Map<FrameMeter.Kind, FrameMeter.Sums> kinds) {
    boolean good() {
        return over.isEmpty() && divergent == 0 && lost == 0 && unfencedLate == 0;
    }

    /** Returns the result as one line with a JSON object. */
    String json() {
        ObjectNode out = Json.MAPPER.createObjectNode();
        out.put("design", spec.design().word());
        out.put("load", spec.load().word());
        out.put("poolers", spec.poolers());
        out.put("databases", spec.databases());
        out.put("daemons", spec.daemons());
        out.put("seconds", spec.seconds());
        out.put("seed", spec.seed());
        out.put("change_factor", spec.changeFactor());
        out.put("restart_factor", spec.restartFactor());
        out.put("changes", changes);
        out.put("restarts", restarts);
        out.setAll((ObjectNode) Json.MAPPER.valueToTree(metrics));
        out.set("bytes_per_s_by_kind", Json.MAPPER.valueToTree(kinds));
        out.put("divergent", divergent);
        out.put("lost", lost);
        out.put("unfenced_late", unfencedLate);
        out.put("fenced", fenced);
        out.set("over", Json.MAPPER.valueToTree(over));
        out.set("findings", Json.MAPPER.valueToTree(findings));
        return Json.line(out);
    }
}
