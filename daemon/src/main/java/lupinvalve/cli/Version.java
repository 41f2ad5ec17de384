package lupinvalve.cli;

/** Prints the version from the jar's manifest; {@code unpacked} if the classes do not come from the jar. */
public final class Version implements Main.Command {
    @Override
    public int run() {
        String version = Version.class.getPackage().getImplementationVersion();
        System.out.println("lupinvalve " + (version == null ? "unpacked" : version));
        return 0;
    }
}
