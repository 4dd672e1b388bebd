package standins2;

import java.io.File;
import java.util.ArrayList;
import java.util.List;

/** The cases of the review, by the number of their folder. */
public final class Cases {
    private Cases() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        File record = new File(args[1], "record.txt");
        int code;
        try {
            code =
                    switch (args[0]) {
                        case "smoke" -> smoke(record);
                        case "mem" -> mem(record);
                        case "reserve" -> reserve(record, trouble);
                        case "7" -> neverUp(record, trouble);
                        case "idle" -> idle(record);
                        case "4" -> largeGang(record, trouble);
                        case "chaos" -> chaos(record, Long.parseLong(args[2]), args[3]);
                        case "6" -> machineTaken(record, trouble);
                        case "scatter" -> scatteredGang(record, trouble);
                        case "giant" -> giantGang(record, trouble);
                        case "8" -> noCheapMachines(record, trouble);
                        case "5" -> longShapes(record, trouble);
                        default -> 2;
                    };
        } catch (Exception e) {
            e.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }

    static int result(Lab lab) {
        for (var entry : lab.broken.entrySet()) {
            System.out.println(
                    entry.getKey() + ": " + entry.getValue().size() + " times, first "
                            + entry.getValue().get(0));
        }
        lab.note(lab.broken.isEmpty() ? "no rule is broken" : "broken: " + lab.broken.keySet());
        lab.close();
        return lab.broken.isEmpty() ? 0 : 1;
    }

    static int mem(File record) throws Exception {
        Site site = Site.lakeshore();
        site.controllers = 3;
        Lab lab = new Lab(site, record);
        lab.startAll();
        lab.pollAll(1000);
        for (int i = 0; i < 3; i++) {
            lab.submit(lab.job(400 + i, "wind-fields", site.teams.get(i).name(), "array", "normal", 100_000, 1, 2.7, 3), i);
        }
        Wire.THREADS.execute(
                () -> {
                    for (int i = 0; lab.seconds() < 110; i++) {
                        Lab.Job job = lab.job(1000 + i, "ice-forecast", site.teams.get(i % 4).name(), "array", "high", 1, 1, 1, 2);
                        int node = i;
                        Wire.THREADS.execute(() -> lab.submit(job, node));
                        Lab.sleep(250);
                    }
                });
        while (lab.seconds() < 110) {
            StringBuilder text = new StringBuilder("rss");
            for (Lab.Controller c : lab.controllers) {
                for (String line : java.nio.file.Files.readAllLines(java.nio.file.Path.of("/proc/" + c.process.pid() + "/status"))) {
                    if (line.startsWith("VmRSS") || line.startsWith("RssAnon")) {
                        text.append(" ").append(line.replaceAll("[^0-9]", ""));
                    }
                }
                text.append(c.process.isAlive() ? ";" : " DEAD;");
            }
            System.out.println(lab.seconds() + " " + text);
            Lab.sleep(8000);
        }
        return result(lab);
    }

    static int reserve(File record, boolean trouble) throws Exception {
        Site site = Site.lakeshore();
        site.zones = List.of("duluth");
        site.shapes = List.of(new Site.Shape("gull", 8, 0, 64, 1.0, 0.46, 0.17, 25, 5));
        Lab lab = new Lab(site, record);
        lab.cloud.noSpot = true;
        lab.startAll();
        lab.pollAll(1000);
        Lab.Job service = lab.job(10, "models", "model-ops", "standing", "production", 3, 8, 1, 0);
        service.spec.put("preemptible", false);
        lab.submit(service, 0);
        Wire.THREADS.execute(
                () -> {
                    for (int i = 0; lab.seconds() < 116; i++) {
                        Lab.Job job = lab.job(100 + i, "ice-forecast", "roads-desk", "array", "high", i == 0 ? 7 : 3, 2, 1, 5);
                        job.spec.put("preemptible", false);
                        int node = i;
                        Wire.THREADS.execute(() -> lab.submit(job, node));
                        Lab.sleep(10_000);
                    }
                });
        Lab.sleep(14_000);
        if (trouble) {
            List<Machine> machines;
            synchronized (lab.cloud) {
                machines = new ArrayList<>(lab.cloud.machines.values());
            }
            for (Machine machine : machines) {
                if (machine.up && machine.running().stream().noneMatch(a -> a.job == service)) {
                    lab.cloud.take(machine);
                    lab.cloud.full = true;
                    break;
                }
            }
        }
        while (lab.seconds() < 22.5) {
            Lab.sleep(100);
        }
        Lab.Job job = lab.job(412, "archive-regrid", "archive-group", "array", "best_effort", 4, 1, 1, 5);
        lab.submit(job, 1);
        watch(lab, List.of(job), 116);
        return result(lab);
    }

    static int neverUp(File record, boolean trouble) throws Exception {
        Site site = Site.lakeshore();
        site.shapes =
                List.of(
                        new Site.Shape("gull", 8, 0, 64, 1.0, 0.46, 0.17, 25, 12),
                        new Site.Shape("heron", 16, 0, 64, 1.0, 0.83, 0.36, 15, 12));
        Lab lab = new Lab(site, record);
        lab.cloud.neverUp = 6;
        lab.startAll();
        lab.pollAll(1000);
        Lab.Job job =
                lab.job(412, "ensemble-rerun", "model-ops", "array", "normal", 6, 16, 8, 30);
        Lab.setShapes(job, List.of("heron"));
        job.spec.put("site", "duluth");
        lab.submit(job, 0);
        while (lab.seconds() < 27) {
            Lab.sleep(100);
        }
        if (trouble) {
            for (Lab.Controller controller : lab.controllers) {
                controller.kill();
                Lab.sleep(5000);
                controller.start();
                while (!controller.ready()) {
                    Lab.sleep(100);
                }
                Lab.sleep(1000);
            }
        }
        while (lab.seconds() < 113 && job.startedAt == 0) {
            Lab.sleep(200);
        }
        if (job.startedAt == 0) {
            lab.broken(
                    "accepted_job_must_run",
                    job.id
                            + " hasn't begun "
                            + (System.currentTimeMillis() - job.acceptedAt) / 1000
                            + " s after it was accepted; "
                            + lab.cloud.machines.size()
                            + " machines that never come up are kept");
        }
        return result(lab);
    }

    static int idle(File record) throws Exception {
        Lab lab = new Lab(Site.lakeshore(), record);
        lab.startAll();
        for (Lab.Controller controller : lab.controllers) {
            System.out.println(controller.address + " " + controller.process.pid());
        }
        Lab.sleep(60_000);
        return result(lab);
    }

    static int smoke(File record) throws Exception {
        Lab lab = new Lab(Site.lakeshore(), record);
        lab.startAll();
        lab.pollAll(1000);
        List<Lab.Job> jobs = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            Lab.Job job =
                    lab.job(
                            100 + i,
                            "wind-fields",
                            lab.site.teams.get(i % 4).name(),
                            i == 7 ? "ensemble" : "array",
                            i % 2 == 0 ? "normal" : "high",
                            10);
            jobs.add(job);
            lab.submit(job, i);
        }
        long until = System.currentTimeMillis() + 60_000;
        while (System.currentTimeMillis() < until
                && !jobs.stream().allMatch(j -> j.lastStatus.equals("done"))) {
            Lab.sleep(200);
        }
        for (Lab.Job job : jobs) {
            System.out.println(job.id + " " + job.lastStatus);
        }
        return result(lab);
    }

    /** So many small jobs to every node; each is watched for 90 s of waiting. */
    private static List<Lab.Job> submitSmall(Lab lab, int first, String team, int perNode)
            throws Exception {
        List<Lab.Job> jobs = new ArrayList<>();
        for (int i = 0; i < perNode * lab.site.controllers; i++) {
            Lab.Job job = lab.job(first + i, "small", team, "array", "normal", 2, 1, 1, 5);
            jobs.add(job);
            lab.submit(job, i);
        }
        return jobs;
    }

    /** One task that runs longer than the script: its machine is up and has room all the time. */
    private static void keepOneMachine(Lab lab, String team) {
        Lab.Job job = lab.job(100, "small", team, "array", "normal", 1, 1, 1, 300);
        lab.submit(job, 0);
        waitFor(List.of(job), "running", 20_000);
    }

    private static void watch(Lab lab, List<Lab.Job> jobs, double untilSeconds) {
        while (lab.seconds() < untilSeconds) {
            lab.checkWaiting(jobs);
            Lab.sleep(500);
            if (jobs.stream().allMatch(job -> job.lastStatus.equals("done"))) {
                break;
            }
        }
        for (Lab.Job job : jobs) {
            lab.note(job.id + ": " + job.lastStatus + ", " + job.done.size() + " tasks done");
        }
    }

    private static void waitFor(List<Lab.Job> jobs, String status, long millis) {
        long until = System.currentTimeMillis() + millis;
        while (System.currentTimeMillis() < until
                && !jobs.stream().allMatch(j -> j.lastStatus.equals(status))) {
            Lab.sleep(100);
        }
    }

    static int largeGang(File record, boolean trouble) throws Exception {
        Lab lab = new Lab(Site.atlasHunt(), record);
        lab.startAll();
        lab.pollAll(1000);
        keepOneMachine(lab, "ground-crew");
        if (trouble) {
            Lab.Job gang =
                    lab.job(
                            412,
                            "seat-maps",
                            "partner-links",
                            "ensemble",
                            "normal",
                            2300,
                            0.5,
                            0.5,
                            20);
            lab.submit(gang, 1);
            Lab.sleep(2000);
        }
        watch(lab, submitSmall(lab, 500, "finance-desk", 2), 114);
        return result(lab);
    }

    static int longShapes(File record, boolean trouble) throws Exception {
        Lab lab = new Lab(Site.lakeshoreHunt(), record);
        lab.startAll();
        lab.pollAll(1000);
        keepOneMachine(lab, "archive-group");
        Lab.Job job =
                lab.job(412, "ensemble-rerun", "marine-desk", "array", "normal", 200, 1, 1, 20);
        List<String> shapes = new ArrayList<>(List.of("gull", "heron", "osprey"));
        Lab.setShapes(job, shapes);
        // All the types of machine that the team has ever used; three of them exist here.
        for (int i = 0; trouble && Wire.JSON.writeValueAsBytes(job.spec).length < 7950; i++) {
            shapes.add(String.format("type-%03d.large", i));
            Lab.setShapes(job, shapes);
        }
        lab.note("the job's description has " + Wire.JSON.writeValueAsBytes(job.spec).length + " bytes");
        lab.submit(job, 1);
        // The state service refuses the first oversized write as soon as about 100 tasks are placed.
        long until = System.currentTimeMillis() + 10_000;
        while (System.currentTimeMillis() < until && lab.store.malformed < 3) {
            Lab.sleep(100);
        }
        watch(lab, submitSmall(lab, 500, "roads-desk", 1), 113);
        return result(lab);
    }

    static int machineTaken(File record, boolean trouble) throws Exception {
        Lab lab = new Lab(Site.lakeshore(), record);
        lab.startAll();
        lab.pollAll(1000);
        // Its machine has room for the second job.
        Lab.Job first =
                lab.job(411, "ensemble-rerun", "model-ops", "array", "normal", 1, 1, 1, 6);
        Lab.setShapes(first, List.of("osprey"));
        lab.submit(first, 0);
        waitFor(List.of(first), "running", 20_000);
        Lab.Job second =
                lab.job(412, "ensemble-rerun", "model-ops", "array", "normal", 2, 12, 24, 25);
        lab.submit(second, 0);
        waitFor(List.of(first), "done", 20_000);
        if (second.startedAt == 0) {
            return 2;
        }
        long takenAt = System.currentTimeMillis();
        if (trouble) {
            List<Machine> machines;
            synchronized (lab.cloud) {
                machines = new ArrayList<>(lab.cloud.machines.values());
            }
            for (Machine machine : machines) {
                if (!machine.running().isEmpty()) {
                    lab.cloud.take(machine);
                }
            }
            synchronized (lab) {
                second.started.clear();
            }
        }
        while (lab.seconds() < 115
                && !second.lastStatus.equals("done")
                && (!trouble || second.started.isEmpty())) {
            Lab.sleep(200);
        }
        if (trouble && second.started.isEmpty()) {
            lab.broken(
                    "accepted_job_must_run",
                    second.id
                            + " hasn't begun again "
                            + (System.currentTimeMillis() - takenAt) / 1000
                            + " s after its machine was taken; the cloud would give any machine");
        } else if (!trouble && !second.lastStatus.equals("done")) {
            lab.broken("accepted_job_must_run", second.id + " isn't done");
        }
        return result(lab);
    }

    static int scatteredGang(File record, boolean trouble) throws Exception {
        Lab lab = new Lab(Site.atlas(), record);
        lab.startAll();
        lab.pollAll(1000);
        keepOneMachine(lab, "finance-desk");
        Lab.Job gang =
                lab.job(412, "seat-maps", "ground-crew", "ensemble", "normal", 4, 1, 1, 5);
        gang.spec.put("scatter", trouble);
        int status = lab.submit(gang, 0);
        waitFor(List.of(gang), "done", status == 201 ? 60_000 : 0);
        if (status == 201 && !gang.lastStatus.equals("done")) {
            lab.broken(
                    "accepted_cant_run",
                    gang.id + " got 201, and none of its tasks has begun 60 s later");
        }
        return result(lab);
    }

    static int giantGang(File record, boolean trouble) throws Exception {
        Lab lab = new Lab(Site.lakeshore(), record);
        lab.startAll();
        lab.pollAll(1000);
        Lab.Job gang =
                lab.job(
                        412,
                        "ensemble-rerun",
                        "marine-desk",
                        "ensemble",
                        "high",
                        trouble ? 2500 : 1500,
                        0.04,
                        0.1,
                        10);
        Lab.setShapes(gang, List.of("gull", "heron"));
        lab.submit(gang, 0);
        while (lab.seconds() < 113 && gang.startedAt == 0) {
            Lab.sleep(200);
        }
        if (gang.startedAt == 0) {
            lab.broken("accepted_job_must_run", gang.id + " hasn't begun");
        } else {
            waitFor(List.of(gang), "done", 20_000);
        }
        return result(lab);
    }

    static int noCheapMachines(File record, boolean trouble) throws Exception {
        Site site = Site.lakeshore();
        Lab lab = new Lab(site, record);
        lab.cloud.noSpot = trouble;
        lab.startAll();
        lab.pollAll(1000);
        Lab.sleep(2000);
        Lab.Job job =
                lab.job(412, "wind-fields", "roads-desk", "array", "normal", 1, 1, 2.7, 12);
        lab.submit(job, 0);
        while (lab.seconds() < 112 && job.startedAt == 0) {
            Lab.sleep(200);
        }
        if (job.startedAt == 0) {
            lab.broken(
                    "accepted_job_must_run",
                    job.id
                            + " hasn't begun "
                            + (System.currentTimeMillis() - job.acceptedAt) / 1000
                            + " s after it was accepted; no ordinary machine was asked for");
        } else {
            waitFor(List.of(job), "done", 20_000);
        }
        return result(lab);
    }

    static int chaos(File record, long seed, String siteName) throws Exception {
        java.util.Random random = new java.util.Random(seed);
        Site site =
                siteName.equals("atlas")
                        ? Site.atlas()
                        : siteName.equals("watershed") ? Site.watershed() : Site.lakeshore();
        Lab lab = new Lab(site, record);
        lab.startAll();
        lab.pollAll(700);
        double end = 88;
        Wire.THREADS.execute(
                () -> {
                    String[] modes = {"array", "array", "array", "ensemble", "standing"};
                    String[] urgencies = {"production", "high", "normal", "best_effort"};
                    for (int i = 0; lab.seconds() < end; i++) {
                        Lab.Job job =
                                lab.job(
                                        1000 + i,
                                        "c" + random.nextInt(4),
                                        site.teams.get(random.nextInt(site.teams.size())).name(),
                                        modes[random.nextInt(5)],
                                        urgencies[random.nextInt(4)],
                                        1 + random.nextInt(random.nextInt(5) == 0 ? 30 : 5),
                                        1 + random.nextInt(2),
                                        1,
                                        2 + random.nextInt(25));
                        int kind = random.nextInt(6);
                        if (kind == 0) {
                            job.spec.put("oneZone", true);
                        } else if (kind == 1 && site.zones.size() > 1) {
                            job.spec.put("scatter", true);
                        } else if (kind == 2) {
                            job.spec.put("preemptible", false);
                        } else if (kind == 3) {
                            job.spec.put("site", site.zones.get(0));
                        }
                        if (random.nextBoolean()) {
                            job.spec.put("snapshotEveryS", 5.0).put("snapshotS", 1.0);
                        }
                        boolean cancel = job.service() || random.nextInt(4) == 0;
                        long after = random.nextInt(20_000);
                        int node = random.nextInt(3);
                        Wire.THREADS.execute(
                                () -> {
                                    lab.submit(job, node);
                                    if (cancel) {
                                        Lab.sleep(after);
                                        lab.cancel(job, node + 1, 60_000);
                                        for (int k = 0; k < 4; k++) {
                                            lab.poll(job, node + k);
                                        }
                                    }
                                });
                        Lab.sleep(300 + random.nextInt(900));
                    }
                });
        Lab.sleep(8000);
        while (lab.seconds() < end) {
            int which = random.nextInt(12);
            int node = random.nextInt(4) == 0 ? random.nextInt(3) : Math.max(0, lab.leader());
            Lab.Controller controller = lab.controllers.get(node);
            List<Machine> machines;
            synchronized (lab.cloud) {
                machines = new ArrayList<>(lab.cloud.machines.values());
            }
            Machine machine =
                    machines.isEmpty() ? null : machines.get(random.nextInt(machines.size()));
            long spell = 1000 + random.nextInt(14_000);
            lab.note("trouble " + which + " for " + spell + " ms, controller " + node);
            switch (which) {
                case 0, 1 -> {
                    controller.kill();
                    Lab.sleep(random.nextInt(2) * 5000);
                    controller.start();
                }
                case 2 -> {
                    for (Lab.Controller c : lab.controllers) {
                        c.kill();
                    }
                    Lab.sleep(random.nextInt(3) * 4000);
                    for (Lab.Controller c : lab.controllers) {
                        c.start();
                    }
                }
                case 3, 4 -> {
                    controller.signal("STOP");
                    Lab.sleep(spell);
                    controller.signal("CONT");
                }
                case 5 -> {
                    var cut = random.nextBoolean() ? lab.store.refused : lab.store.silent;
                    cut.add(node);
                    Lab.sleep(2 * spell);
                    cut.remove(node);
                }
                case 6 -> {
                    lab.store.setDown(true);
                    Lab.sleep(spell);
                    lab.store.setDown(false);
                }
                case 7 -> {
                    lab.store.lateShare = 0.3;
                    Lab.sleep(spell);
                    lab.store.lateShare = 0;
                }
                case 8 -> {
                    lab.store.lostAnswerShare = 0.4;
                    Lab.sleep(spell);
                    lab.store.lostAnswerShare = 0;
                }
                default -> {
                    if (machine != null) {
                        boolean hang = which == 9;
                        Wire.THREADS.execute(
                                () -> {
                                    if (hang) {
                                        machine.setHung(true);
                                    }
                                    machine.deaf = which == 10;
                                    machine.mute = which == 11;
                                    Lab.sleep(2 * spell);
                                    machine.deaf = false;
                                    machine.mute = false;
                                    if (hang) {
                                        machine.setHung(false);
                                    }
                                });
                    }
                }
            }
            Lab.sleep(random.nextInt(5000));
        }
        double quietEnd = lab.seconds() + Double.parseDouble(System.getenv().getOrDefault("QUIET_S", "18"));
        Lab.sleep(3000);
        lab.store.refused.clear();
        while (lab.seconds() < quietEnd) {
            List<Lab.Job> all;
            synchronized (lab) {
                all = new ArrayList<>(lab.jobs.values());
            }
            lab.checkWaiting(all);
            Lab.sleep(500);
        }
        int open = 0;
        for (Lab.Job job : new ArrayList<>(lab.jobs.values())) {
            if (job.acceptedAt > 0 && !job.lastStatus.equals("done") && !job.cancelAsked) {
                open++;
            }
        }
        System.out.println("jobs " + lab.jobs.size() + ", open " + open);
        return result(lab);
    }
}
