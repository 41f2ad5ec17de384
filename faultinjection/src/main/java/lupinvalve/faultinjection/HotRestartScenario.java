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
 * A hot restart in which operators drain db nodes and return them at both processes: each command that was acknowledged
 * must hold at every process from its next poll on, and at one that starts later, whatever fails in between. In memory.
 */
public final class HotRestartScenario {
    /** Thrown through the code under test as its process dies. */
    private static final class ProcessEnded extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    /** The shared directory; it outlives processes. */
    private final Map<String, byte[]> files = new TreeMap<>();

    private final FailPoints points;
    private final List<String> violations = new ArrayList<>();
    /** Whether a db node is drained by the last acknowledged command; null after one of unknown outcome. */
    private final Map<String, Boolean> expectedDrained = new TreeMap<>();

    private long nextMicros = 1;

    private HotRestartScenario(FailPoints points) {
        this.points = points;
    }

    /** Runs a hot restart with the faults that the points name; returns what was broken. */
    public static List<String> run(FailPoints points) {
        HotRestartScenario scenario = new HotRestartScenario(points);
        points.setEnabled(true);
        scenario.restart();
        points.setEnabled(false);
        for (Process later : List.of(scenario.new Process(), scenario.new Process())) {
            later.poll();
            scenario.check(later, "a process that starts later");
        }
        return scenario.violations;
    }

    private final class Process {
        private DrainCommandsFile file = new DrainCommandsFile(new FailPointDirectory(), "p");
        private DrainCommands known = DrainCommands.NONE;
        private boolean ended;

        /** An operator's command. */
        void command(boolean drain, String id) {
            if (ended) {
                return;
            }
            expectedDrained.put(id, null);
            try {
                known = file.update(known, commands -> commands.with(drain, id, nextMicros++));
                expectedDrained.put(id, drain);
            } catch (IOException e) {
                // Rejected: it may hold or not.
            } catch (ProcessEnded e) {
                ended = true;
            }
        }

        /** Polls for the other process's commands. */
        void poll() {
            try {
                DrainCommands other = ended ? null : file.readIfChanged(known);
                known = other == null ? known : other;
            } catch (ProcessEnded e) {
                ended = true;
            }
        }

        /** Starts again where it has died. */
        void restartIfEnded() {
            if (ended) {
                ended = false;
                known = DrainCommands.NONE;
                file = new DrainCommandsFile(new FailPointDirectory(), "p");
                poll();
            }
        }
    }

    private void restart() {
        Process before = new Process();
        before.poll();
        before.command(true, "a");
        before.command(true, "b");
        Process after = new Process();
        after.poll();
        after.command(true, "c");
        before.restartIfEnded();
        before.command(true, "d");
        after.restartIfEnded();
        after.poll();
        check(after, "the new process");
        after.command(false, "a");
        before.poll();
        check(before, "the old process");
        before.command(false, "d");
        before.ended = true;
        after.restartIfEnded();
        after.poll();
        after.command(false, "b");
        after.command(true, "e");
        check(after, "the new process alone");
    }

    private void check(Process process, String who) {
        points.setEnabled(false);
        process.poll();
        if (!process.ended) {
            expectedDrained.forEach((id, drained) -> {
                if (drained != null && process.known.drained().contains(id) != drained) {
                    violations.add(who
                            + (drained
                                    ? " uses " + id + ", whose drain was acknowledged"
                                    : " drains " + id + ", whose return was acknowledged"));
                }
            });
        }
        points.setEnabled(true);
    }

    /** One process's access to the directory, on which each call is a fail point. */
    private final class FailPointDirectory implements SharedDirectory {
        private interface Step<T> {
            T run() throws IOException;
        }

        private <T> T step(StepKind kind, Step<T> step, Step<T> tornStep) throws IOException {
            Fault fault = points.nextFault(kind);
            if (fault == null) {
                return step.run();
            } else if (fault == Fault.FAIL) {
                throw new IOException("Input/output error");
            } else if (fault == Fault.TORN) {
                tornStep.run();
            } else if (fault == Fault.DIE_AFTER) {
                step.run();
            }
            throw new ProcessEnded();
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
