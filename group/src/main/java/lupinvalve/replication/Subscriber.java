package lupinvalve.replication;

import java.io.IOException;
import java.util.List;
import lupinvalve.config.OperatorConfig;
import lupinvalve.core.Loop;
import lupinvalve.ledger.Change;
import lupinvalve.net.Net;

/**
 * Follows the group's configuration and holds from one member at a time, without being a member. Hundreds of them may share one loop
 * and one {@link Net} in a process; the daemon's has its own.
 */
public final class Subscriber implements ControlPlane {
    private final OperatorConfig.Store config;
    private final Loop loop;
    private final Net net;

    /** The daemon's: with a thread and connections of its own. Throws with one line that says what is wrong with the folder. */
    public Subscriber(OperatorConfig.Store config) throws IOException {
        this(config, new Loop("store"), null, new FolderDisk(config.folder(), true), System.nanoTime());
    }

    /**
     * One of many in a process.
     *
     * @param loop runs it; not started or stopped here
     * @param net carries its connections, on the same loop; not closed here
     * @param disk keeps the last accepted document; closed by {@link #stop}
     * @param seed of its pauses and of its order of members
     */
    public Subscriber(OperatorConfig.Store config, Loop loop, Net net, Disk disk, long seed) throws IOException {
        this.config = config;
        this.loop = loop;
        this.net = net;
    }

    @Override
    public Known known() {
        return null;
    }

    @Override
    public void start(Group.Pooler beside) throws IOException {
    }

    @Override
    public boolean mayAct() {
        return false;
    }

    /** Which revision the pooler beside acts on, 0 for none; from any thread. */
    public long actingRevision() {
        return 0;
    }

    /** The digest of what it acts on, empty for none; from any thread. */
    public String actingDigest() {
        return "";
    }

    /** What has gone over its connections; from any thread. */
    public Traffic traffic() {
        return new Traffic(0, 0, 0, 0, 0, 0);
    }

    /**
     * Sums since the start.
     *
     * @param calls that were asked
     * @param wholes whole documents that came
     * @param differences that came, one a revision
     * @param moves from one member to another
     */
    public record Traffic(long bytesOut, long bytesIn, long calls, long wholes, long differences, long moves) {}

    @Override
    public boolean fences() {
        return config.audit() == OperatorConfig.Audit.FENCE;
    }

    @Override
    public boolean leads() {
        return false;
    }

    @Override
    public void committed(String session, long position, Runnable then) {
        if (then != null) {
            then.run();
        }
    }

    @Override
    public void listing(List<Change.Listed> nodes) {
        // Members tell of the list.
    }

    @Override
    public void reload() throws IOException {
    }

    @Override
    public void stop() {
    }
}
