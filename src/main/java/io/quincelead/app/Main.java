package io.quincelead.app;

import io.quincelead.cli.OperatorCli;
import io.quincelead.config.OperatorSettings;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.TransportConstants;
import io.quincelead.transport.HttpClient;
import io.quincelead.transport.HttpServer;
import io.quincelead.transport.XnioEventLoop;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Callable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import picocli.CommandLine;

/**
 * The program's entry point: checks the settings and starts a controller, or runs an operator's
 * command.
 */
@CommandLine.Command(
        name = "quincelead",
        mixinStandardHelpOptions = true,
        version = "quincelead 0.1.0",
        description = "Cluster scheduler: rents machines, runs jobs on them and answers users.",
        footer = {
            "",
            "Environment: LOG_LEVEL is error, info (default) or debug; logs go to standard error.",
            "Commands of operators: classes, calendar, zones, explain (quincelead classes --help).",
            "Exit: 1 when settings can't be used, 2 for a wrong command line."
        })
public final class Main implements Callable<Integer> {
    /** Result of {@link #call} when the controller runs and the process must not exit. */
    private static final int KEEP_RUNNING = -1;

    /**
     * First arguments of the operators' commands, listed here so that the commands' classes needn't
     * be loaded.
     */
    public static final Set<String> OPERATOR_COMMANDS =
            Set.of("classes", "calendar", "zones", "explain");

    @CommandLine.Option(
            names = "--config",
            paramLabel = "FILE",
            description = "The platform's settings (TOML).")
    private File settingsFile;

    @CommandLine.Option(
            names = "--operator-settings",
            paramLabel = "FILE",
            description = "The operators' own settings (JSON).")
    private File operatorSettingsFile;

    @CommandLine.Option(names = "--check", description = "Check the settings and exit.")
    private boolean checkOnly;

    @CommandLine.Option(
            names = "--rehearse",
            hidden = true,
            description = "Exercise the start for the class-data archive and exit.")
    private boolean trainClassDataArchive;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    /** Runs the command line. A controller keeps running after this method returns. */
    public static void main(String[] args) {
        configureLogging();
        if (args.length > 0 && OPERATOR_COMMANDS.contains(args[0])) {
            // The commands' classes are loaded only here: a controller doesn't need them.
            System.exit(OperatorCli.run(args));
        }
        int exitCode = new CommandLine(new Main()).execute(args);
        if (exitCode != KEEP_RUNNING) {
            System.exit(exitCode);
        }
    }

    /** Configures logging; must run before the first logger is created. */
    private static void configureLogging() {
        String level = System.getenv().getOrDefault("LOG_LEVEL", "info").toLowerCase(Locale.ROOT);
        if (!Set.of("error", "info", "debug").contains(level)) {
            level = "info";
        }
        System.setProperty("org.jboss.logging.provider", "slf4j");
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
        System.setProperty("org.slf4j.simpleLogger.log.io.quincelead", level);
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    }

    @Override
    public Integer call() throws Exception {
        PrintWriter err = spec.commandLine().getErr();
        if (trainClassDataArchive) {
            ClassDataArchiveTraining.run();
            return 0;
        }
        if (settingsFile == null) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "Missing required option: '--config=FILE'");
        }
        Settings settings;
        OperatorSettings operatorSettings;
        try {
            settings = Settings.load(settingsFile);
            operatorSettings =
                    operatorSettingsFile == null
                            ? OperatorSettings.DEFAULTS
                            : OperatorSettings.load(operatorSettingsFile);
        } catch (Settings.InvalidSettingsException e) {
            err.println("quincelead: " + e.getMessage());
            return 1;
        }
        if (checkOnly) {
            err.println("quincelead: the settings are in order");
            return 0;
        }
        start(settings, operatorSettings);
        return KEEP_RUNNING;
    }

    /**
     * Starts a controller on real sockets.
     *
     * @throws IOException if its I/O thread can't be created
     */
    static void start(Settings settings, OperatorSettings operatorSettings) throws IOException {
        XnioWorker worker =
                Xnio.getInstance()
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_IO_THREADS, 1)
                                        .set(Options.WORKER_TASK_CORE_THREADS, 0)
                                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                        .set(Options.TCP_NODELAY, true)
                                        .set(Options.THREAD_DAEMON, false)
                                        .getMap());
        XnioEventLoop loop = new XnioEventLoop(worker.getIoThread());
        ConnectionLimits limits = ConnectionLimits.of(settings);
        loop.runAfter(
                0,
                () -> {
                    HttpClient client =
                            new HttpClient(
                                    loop,
                                    worker.getIoThread(),
                                    limits.criticalAddresses(),
                                    limits.maxSharedConnections());
                    Controller controller =
                            new Controller(loop, client, settings, operatorSettings);
                    // Servers are started off the loop: binding waits for the accept thread.
                    Thread starter =
                            new Thread(
                                    () -> startServers(worker, controller, settings, limits),
                                    "starter");
                    starter.start();
                });
    }

    private static void startServers(
            XnioWorker worker, Controller controller, Settings settings, ConnectionLimits limits) {
        Logger log = LoggerFactory.getLogger(Main.class);
        String address = settings.listenAddress();
        String peerAddress = settings.clusterListenAddress();
        try {
            new HttpServer(worker, address, limits.maxServerConnections(), controller::handle)
                    .start();
            new HttpServer(
                            worker,
                            peerAddress,
                            TransportConstants.MAX_PEER_CONNECTIONS,
                            controller::handlePeerRequest)
                    .start();
            log.info(
                    "controller {} is listening on {} and {}",
                    settings.memberId(),
                    address,
                    peerAddress);
        } catch (RuntimeException e) {
            // Undertow wraps the exceptions of binding. A controller that can't listen exits.
            log.error("can't listen on {} or {}: {}", address, peerAddress, e.getMessage());
            System.exit(1);
        }
    }

    /** Returns a free port on loopback, for starts without a settings file. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress("127.0.0.1", 0));
            return socket.getLocalPort();
        }
    }
}
