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
 * A hot restart during which operators start and end drains of db nodes at both processes. Each acknowledged command
 * must hold at every process from that process's next poll on, and at processes that start later, whatever faults are
 * injected in between. Runs in memory.
 */
public final class HotRestartScenario {
    /** Unwinds the code under test when its process dies. */
    private static final class ProcessEnded extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    /** Content of the shared directory, by file name; survives the processes. */
    private final Map<String, byte[]> files = new TreeMap<>();

    private final FailPoints points;
    private final List<String> violations = new ArrayList<>();
    /** Whether the last command drains a db node, by the node's id; null if the command's outcome is unknown. */
    private final Map<String, Boolean> expectedDrained = new TreeMap<>();

    /** Timestamp of the next command. */
    private long nextMicros = 1;

    private HotRestartScenario(FailPoints points) {
        this.points = points;
    }

    /** Runs a hot restart with the faults that are planned in {@code points}; returns the violations. */
    public static List<String> run(FailPoints points) {
        HotRestartScenario scenario = new HotRestartScenario(points);
        points.setEnabled(true);
        scenario.restart();
        points.setEnabled(false);
        for (Process laterProcess : List.of(scenario.new Process(), scenario.new Process())) {
            laterProcess.poll();
            scenario.check(laterProcess, "a process that starts later");
        }
        return scenario.violations;
    }

    private final class Process {
        private DrainCommandsFile file = new DrainCommandsFile(new FailPointDirectory(), "p");
        private DrainCommands knownCommands = DrainCommands.NONE;
        private boolean ended;

        /** Executes an operator's command: starts or ends the drain of a db node. */
        void command(boolean drain, String id) {
            if (ended) {
                return;
            }
            expectedDrained.put(id, null);
            try {
                knownCommands = file.update(knownCommands, commands -> commands.with(drain, id, nextMicros++));
                expectedDrained.put(id, drain);
            } catch (IOException e) {
                // The command's outcome is unknown: it may have been stored or not.
            } catch (ProcessEnded e) {
                ended = true;
            }
        }

        /** Reads the other process's commands if they have changed. */
        void poll() {
            try {
                DrainCommands otherCommands = ended ? null : file.readIfChanged(knownCommands);
                knownCommands = otherCommands == null ? knownCommands : otherCommands;
            } catch (ProcessEnded e) {
                ended = true;
            }
        }

        /** Restarts the process if it has died. */
        void restartIfEnded() {
            if (ended) {
                ended = false;
                knownCommands = DrainCommands.NONE;
                file = new DrainCommandsFile(new FailPointDirectory(), "p");
                poll();
            }
        }
    }

    private void restart() {
        Process oldProcess = new Process();
        oldProcess.poll();
        oldProcess.command(true, "a");
        oldProcess.command(true, "b");
        Process newProcess = new Process();
        newProcess.poll();
        newProcess.command(true, "c");
        oldProcess.restartIfEnded();
        oldProcess.command(true, "d");
        newProcess.restartIfEnded();
        newProcess.poll();
        check(newProcess, "the new process");
        newProcess.command(false, "a");
        oldProcess.poll();
        check(oldProcess, "the old process");
        oldProcess.command(false, "d");
        oldProcess.ended = true;
        newProcess.restartIfEnded();
        newProcess.poll();
        newProcess.command(false, "b");
        newProcess.command(true, "e");
        check(newProcess, "the new process alone");
    }

    /** Records a violation if a running process does not follow the acknowledged commands after a poll. */
    private void check(Process process, String processLabel) {
        points.setEnabled(false);
        process.poll();
        if (!process.ended) {
            expectedDrained.forEach((id, drained) -> {
                if (drained != null && process.knownCommands.drained().contains(id) != drained) {
                    violations.add(processLabel
                            + (drained
                                    ? " uses db node " + id + " although its drain was acknowledged"
                                    : " drains db node " + id + " although the end of its drain was acknowledged"));
                }
            });
        }
        points.setEnabled(true);
    }

    /** One process's access to the directory; each call is a fail point. */
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
        public void move(String name, String target) throws IOException {
            step(StepKind.REPLACE, () -> files.put(target, files.remove(name)), () -> null);
        }

        @Override
        public Closeable lock(String name) throws IOException {
            step(StepKind.CREATE, () -> null, () -> null);
            return () -> {};
        }
    }
}
