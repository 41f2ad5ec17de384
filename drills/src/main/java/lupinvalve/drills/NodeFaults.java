package lupinvalve.drills;

import java.io.IOException;
import java.util.List;

/** Injects a scenario's faults into db nodes, and reports them to discovery and the checkers. */
final class NodeFaults {
    private final List<NodeList> lists;
    private final Timing timing;
    private final Drains drains;
    private final TimedLog log;

    /** @param lists discovery's list for each pooler */
    NodeFaults(List<NodeList> lists, Timing timing, Drains drains, TimedLog log) {
        this.lists = lists;
        this.timing = timing;
        this.drains = drains;
        this.log = log;
    }

    /** Begins a step that affects a db node, or undoes it. */
    void act(Step step, DbNodes.DbNode node, boolean on) throws IOException {
        switch (step.kind()) {
            case NODE_PAUSE -> node.pause(on);
            case NODE_DRAIN -> drain(node, on);
            case NODE_SLOW -> node.slow(on ? (long) step.amount() : 0);
            default -> {
                if (on && !node.isDead()) {
                    node.kill();
                } else if (!on && node.isDead()) {
                    node.restart();
                    timing.nodeStarted(node.id, System.currentTimeMillis());
                    lists.forEach(list -> list.entryChanged(node));
                }
            }
        }
    }

    /** Records a drain's begin and end before any pooler is notified of either. */
    private void drain(DbNodes.DbNode node, boolean on) {
        long now = System.currentTimeMillis();
        boolean changed = on ? drains.drainBegan(node.id, now) : drains.drainEnded(node.id, now);
        if (changed) {
            log.write(node.id + (on ? " drains" : " drains no longer"));
            lists.forEach(list -> list.setDraining(node, on));
        }
    }
}
