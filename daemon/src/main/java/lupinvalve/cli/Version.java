package lupinvalve.cli;

/** Prints the version. */
public final class Version implements Main.Command {
    @Override
    public int run() {
        String version = Version.class.getPackage().getImplementationVersion();
        System.out.println("lupinvalve " + (version == null ? "unpacked" : version));
        return 0;
    }
}
