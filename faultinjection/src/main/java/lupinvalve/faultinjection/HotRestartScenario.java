package lupinvalve.faultinjection;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lupinvalve.faultinjection.FailPoints.Fault;
import lupinvalve.faultinjection.FailPoints.StepKind;
import lupinvalve.hotrestart.DrainCommandsFile;
import lupinvalve.hotrestart.SharedDirectory;
import lupinvalve.maintenance.DrainCommands;

/**
 * An upgrade in which operators take db nodes out and call them back at both processes: each order that got a yes must
 * hold at every process from its next look on, and at one that starts later, whatever fails in between. All in memory.
 */
public final class HotRestartScenario {
    /** The process has ended. */
    private static final class Ended extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    /** What the folder holds; it outlives processes. */
    private final Map<String, byte[]> files = new TreeMap<>();

    private final FailPoints points;
    private final List<String> broken = new ArrayList<>();
    /** Whether a db node is out by the last order with a yes; null where an order of unknown outcome came since. */
    private final Map<String, Boolean> truth = new TreeMap<>();

    private long now = 1;

    private HotRestartScenario(FailPoints points) {
        this.points = points;
    }

    /** Plays an upgrade with the faults that the points name, and gives what was broken. */
    public static List<String> run(FailPoints points) {
        HotRestartScenario play = new HotRestartScenario(points);
        points.setEnabled(true);
        play.upgrade();
        points.setEnabled(false);
        for (Process last : List.of(play.new Process(), play.new Process())) {
            last.look();
            play.check(last, "a process that starts later");
        }
        return play.broken;
    }

    private final class Process {
        private DrainCommandsFile file = new DrainCommandsFile(new Counted(), "p");
        private DrainCommands held = DrainCommands.NONE;
        private boolean ended;

        /** An operator's call. */
        void order(boolean out, String id) {
            if (ended) {
                return;
            }
            truth.put(id, null);
            try {
                held = file.update(held, orders -> orders.with(out, id, now++));
                truth.put(id, out);
            } catch (IOException e) { // A no: it may hold or not.
            } catch (Ended e) {
                ended = true;
            }
        }

        /** Looks for the other process's orders. */
        void look() {
            try {
                DrainCommands other = ended ? null : file.readIfChanged(held);
                held = other == null ? held : other;
            } catch (Ended e) {
                ended = true;
            }
        }

        /** Starts again where it has ended. */
        void back() {
            if (ended) {
                ended = false;
                held = DrainCommands.NONE;
                file = new DrainCommandsFile(new Counted(), "p");
                look();
            }
        }
    }

    private void upgrade() {
        Process before = new Process();
        before.look();
        before.order(true, "a");
        before.order(true, "b");
        Process after = new Process();
        after.look();
        after.order(true, "c");
        before.back();
        before.order(true, "d");
        after.back();
        after.look();
        check(after, "the new process");
        after.order(false, "a");
        before.look();
        check(before, "the old process");
        before.order(false, "d");
        before.ended = true;
        after.back();
        after.look();
        after.order(false, "b");
        after.order(true, "e");
        check(after, "the new process alone");
    }

    private void check(Process process, String who) {
        points.setEnabled(false);
        process.look();
        if (!process.ended) {
            truth.forEach((id, out) -> {
                if (out != null && process.held.drained().contains(id) != out) {
                    broken.add(who
                            + (out
                                    ? " uses " + id + ", which was taken out with a yes"
                                    : " leaves " + id + " out, which was called back with a yes"));
                }
            });
        }
        points.setEnabled(true);
    }

    /** One process's way to the folder, on which each call is a numbered point. */
    private final class Counted implements SharedDirectory {
        private interface Step<T> {
            T go() throws IOException;
        }

        private <T> T step(StepKind kind, Step<T> step, Step<T> torn) throws IOException {
            Fault fault = points.nextFault(kind);
            if (fault == null) {
                return step.go();
            } else if (fault == Fault.FAIL) {
                throw new IOException("Input/output error");
            } else if (fault == Fault.TORN) {
                torn.go();
            } else if (fault == Fault.DIE_AFTER) {
                step.go();
            }
            throw new Ended();
        }

        private byte[] get(String name) throws IOException {
            byte[] content = files.get(name);
            if (content == null) {
                throw new NoSuchFileException(name);
            }
            return content;
        }

        @Override
        public long size(String name) throws IOException {
            return step(StepKind.READ, () -> (long) get(name).length, () -> 0L);
        }

        @Override
        public byte[] read(String name) throws IOException {
            return step(StepKind.READ, () -> get(name).clone(), () -> new byte[0]);
        }

        @Override
        public void write(String name, byte[] content) throws IOException {
            step(
                    StepKind.WRITE,
                    () -> files.put(name, content.clone()),
                    () -> files.put(name, Arrays.copyOf(content, content.length / 2)));
        }

        @Override
        public void move(String name, String to) throws IOException {
            step(StepKind.REPLACE, () -> files.put(to, files.remove(name)), () -> null);
        }

        @Override
        public Closeable lock(String name) throws IOException {
            step(StepKind.CREATE, () -> null, () -> null);
            return () -> {};
        }
    }
}
