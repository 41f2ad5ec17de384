package lupinvalve.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.List;

/** Looks at files every second, on a thread of its own, and tells once they have changed and stand still. */
final class FileWatch {
    private static final long EVERY_MILLIS = 1_000;
    private final List<Path> files;
    private final Runnable changed;
    private final SettledChange change;

    FileWatch(List<Path> files, Runnable changed) {
        this.files = files;
        this.changed = changed;
        change = new SettledChange(look());
    }

    void start() {
        Thread thread = new Thread(this::watch, "configuration watch");
        thread.setDaemon(true);
        thread.start();
    }

    private void watch() {
        try {
            while (true) {
                Thread.sleep(EVERY_MILLIS);
                if (change.settled(look(), System.nanoTime() / 1_000)) {
                    changed.run();
                }
            }
        } catch (InterruptedException e) {
            // Nobody interrupts it but to end it.
            Thread.currentThread().interrupt();
        }
    }

    private List<SettledChange.Look> look() {
        return files.stream().map(FileWatch::look).toList();
    }

    private static SettledChange.Look look(Path file) {
        try {
            BasicFileAttributes seen = java.nio.file.Files.readAttributes(file, BasicFileAttributes.class);
            return new SettledChange.Look(seen.lastModifiedTime(), seen.size(), seen.fileKey());
        } catch (IOException e) {
            return SettledChange.Look.ABSENT;
        }
    }
}
