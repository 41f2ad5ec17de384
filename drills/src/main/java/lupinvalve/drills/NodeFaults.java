package lupinvalve.drills;

import java.io.IOException;
import java.util.List;

/** Does to db nodes what a scenario says, and has discovery and the judges know. */
final class NodeFaults {
    private final List<NodeList> lists;
    private final Timing timing;
    private final Drains drains;
    private final TimedLog log;

    /** @param lists what discovery tells each pooler */
    NodeFaults(List<NodeList> lists, Timing timing, Drains drains, TimedLog log) {
        this.lists = lists;
        this.timing = timing;
        this.drains = drains;
        this.log = log;
    }

    /** Begins a step that strikes a db node, or undoes it. */
    void act(Step step, DbNodes.DbNode node, boolean on) throws IOException {
        switch (step.kind()) {
            case NODE_PAUSE -> node.pause(on);
            case NODE_DRAIN -> drain(node, on);
            case NODE_SLOW -> node.slow(on ? (long) step.amount() : 0);
            default -> {
                if (on && !node.isDead()) {
                    node.kill();
                } else if (!on && node.isDead()) {
                    node.back();
                    timing.started(node.id, System.currentTimeMillis());
                    lists.forEach(list -> list.started(node));
                }
            }
        }
    }

    /** The judge knows of a drain's begin before any pooler can, and of its end before any pooler is told otherwise. */
    private void drain(DbNodes.DbNode node, boolean on) {
        long now = System.currentTimeMillis();
        boolean changed = on ? drains.begun(node.id, now) : drains.ended(node.id, now);
        if (changed) {
            log.said(node.id + (on ? " drains" : " drains no longer"));
            lists.forEach(list -> list.drains(node, on));
        }
    }
}
