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
                        case "gang" -> largeGang(record, trouble);
                        case "shapes" -> longShapes(record, trouble);
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

    /** Small jobs to every node; each is watched for 90 s of waiting. */
    private static List<Lab.Job> submitSmall(Lab lab, int first, String team) throws Exception {
        List<Lab.Job> jobs = new ArrayList<>();
        for (int i = 0; i < 2 * lab.site.controllers; i++) {
            Lab.Job job = lab.job(first + i, "small", team, "array", "normal", 2, 1, 1, 5);
            jobs.add(job);
            lab.submit(job, i);
        }
        return jobs;
    }

    private static void watch(Lab lab, List<Lab.Job> jobs, double untilSeconds) {
        while (lab.seconds() < untilSeconds) {
            lab.checkWaiting(jobs, 500);
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
        Lab lab = new Lab(Site.watershed(), record);
        lab.startAll();
        lab.pollAll(1000);
        List<Lab.Job> warm = submitSmall(lab, 100, "hydro-ops");
        waitFor(warm, "done", 18_000);
        if (trouble) {
            Lab.Job gang =
                    lab.job(
                            412,
                            "surge-ensemble",
                            "shoreline-desk",
                            "ensemble",
                            "normal",
                            2300,
                            0.2,
                            0.3,
                            20);
            lab.submit(gang, 1);
            Lab.sleep(2000);
        }
        watch(lab, submitSmall(lab, 500, "hydro-ops"), 117);
        return result(lab);
    }

    static int longShapes(File record, boolean trouble) throws Exception {
        Lab lab = new Lab(Site.lakeshore(), record);
        lab.startAll();
        lab.pollAll(1000);
        List<Lab.Job> warm = submitSmall(lab, 100, "roads-desk");
        waitFor(warm, "done", 15_000);
        Lab.Job job =
                lab.job(412, "ensemble-rerun", "marine-desk", "array", "normal", 200, 1, 1, 20);
        List<String> shapes = new ArrayList<>(List.of("gull", "heron", "osprey"));
        for (int i = 0; trouble && i < 300; i++) {
            shapes.add(String.format("type-%03d.large", i));
        }
        Lab.setShapes(job, shapes);
        lab.submit(job, 1);
        Lab.sleep(3000);
        watch(lab, submitSmall(lab, 500, "roads-desk"), 117);
        return result(lab);
    }
}
