package standins2;

import java.util.List;

/** The settings of one deployment, as in the users' site file of that name, at a small size. */
final class Site {
    record Shape(
            String label,
            double vcpus,
            double cards,
            double ramGb,
            double pullGbPerS,
            double price,
            double spotPrice,
            double bootS,
            int capacity) {}

    record Team(String name, double cpus, double cpusMax) {}

    String name;
    int controllers = 3;
    List<String> zones;
    List<Shape> shapes;
    List<Team> teams;
    double reportS;
    double leaseS;
    double gangWaitS;
    double gangPeerS;
    double cancelS;
    double rps;
    double writeRps;
    double valueKb = 8.0;
    int txnOps = 12;
    double cloudRps;
    double listLagS;
    double cpuShare;
    double ramMb;
    int maxConnections;
    long bootMillis = 1500;

    Shape shape(String label) {
        return shapes.stream().filter(s -> s.label.equals(label)).findFirst().orElseThrow();
    }

    Team team(String teamName) {
        return teams.stream().filter(t -> t.name.equals(teamName)).findFirst().orElseThrow();
    }

    static Site lakeshore() {
        Site site = new Site();
        site.name = "lakeshore-coop";
        site.zones = List.of("duluth", "kingston", "sarnia");
        site.shapes =
                List.of(
                        new Shape("gull", 8, 0, 64, 1.0, 0.46, 0.17, 25, 4),
                        new Shape("heron", 16, 0, 64, 1.0, 0.83, 0.36, 15, 4),
                        new Shape("osprey", 64, 0, 512, 1.0, 3.81, 1.7, 20, 3));
        site.teams =
                List.of(
                        new Team("marine-desk", 128, 700),
                        new Team("roads-desk", 88, 350),
                        new Team("model-ops", 128, 700),
                        new Team("archive-group", 72, 250));
        site.reportS = 1;
        site.leaseS = 10;
        site.gangWaitS = 45;
        site.gangPeerS = 6;
        site.cancelS = 40;
        site.rps = 200;
        site.writeRps = 80;
        site.cloudRps = 2;
        site.listLagS = 8;
        site.cpuShare = 0.176;
        site.ramMb = 176;
        site.maxConnections = 800;
        return site;
    }

    static Site atlas() {
        Site site = new Site();
        site.name = "atlas-checkin";
        site.zones = List.of("casablanca");
        site.shapes = List.of(new Shape("finch", 4, 0, 8, 0.8, 0.16, 0.05, 35, 14));
        site.teams =
                List.of(
                        new Team("counter-systems", 16, 48),
                        new Team("ops-control", 16, 56),
                        new Team("partner-links", 16, 48),
                        new Team("finance-desk", 16, 48),
                        new Team("ground-crew", 16, 48));
        site.reportS = 3;
        site.leaseS = 14;
        site.gangWaitS = 50;
        site.gangPeerS = 6;
        site.cancelS = 44;
        site.rps = 100;
        site.writeRps = 25;
        site.cloudRps = 2;
        site.listLagS = 6;
        site.cpuShare = 0.44;
        site.ramMb = 263;
        site.maxConnections = 1200;
        return site;
    }

    static Site watershed() {
        Site site = new Site();
        site.name = "watershed-warn";
        site.zones = List.of("thunder-bay", "soo", "port-huron");
        site.shapes =
                List.of(
                        new Shape("minnow", 4, 0, 16, 0.5, 0.18, 0.06, 25, 12),
                        new Shape("walleye", 16, 0, 64, 0.2, 0.62, 0.23, 50, 8));
        site.teams =
                List.of(
                        new Team("river-desk", 1200, 3000),
                        new Team("shoreline-desk", 1500, 5000),
                        new Team("hydro-ops", 700, 1200),
                        new Team("gauge-crew", 1200, 2500),
                        new Team("flood-lab", 1500, 3500),
                        new Team("outreach-desk", 1500, 2500));
        site.reportS = 4;
        site.leaseS = 24;
        site.gangWaitS = 40;
        site.gangPeerS = 5;
        site.cancelS = 49;
        site.rps = 100;
        site.writeRps = 20;
        site.cloudRps = 8;
        site.listLagS = 6;
        site.cpuShare = 0.88;
        site.ramMb = 263;
        site.maxConnections = 2500;
        return site;
    }

    /** With fewer machines to give than the deployment has. */
    static Site atlasHunt() {
        Site site = atlas();
        site.name = "atlas-checkin-hunt";
        site.teams =
                List.of(
                        new Team("counter-systems", 350, 1200),
                        new Team("ops-control", 700, 2000),
                        new Team("partner-links", 700, 1200),
                        new Team("finance-desk", 350, 700),
                        new Team("ground-crew", 600, 1800));
        site.reportS = 4;
        site.leaseS = 22;
        site.cancelS = 52;
        site.rps = 150;
        site.writeRps = 35;
        site.cloudRps = 2.5;
        site.cpuShare = 0.442;
        site.ramMb = 360;
        site.maxConnections = 1554;
        return site;
    }

    /** With fewer machines to give than the deployment has. */
    static Site lakeshoreHunt() {
        Site site = lakeshore();
        site.name = "lakeshore-coop-hunt";
        site.controllers = 5;
        site.teams =
                List.of(
                        new Team("marine-desk", 2500, 8000),
                        new Team("roads-desk", 1500, 4000),
                        new Team("model-ops", 2500, 8000),
                        new Team("archive-group", 1200, 2500));
        site.reportS = 3;
        site.leaseS = 17.5;
        site.cancelS = 47.5;
        site.rps = 600;
        site.writeRps = 250;
        site.cloudRps = 3.5;
        site.cpuShare = 0.408;
        site.ramMb = 360;
        site.maxConnections = 2354;
        return site;
    }
}
