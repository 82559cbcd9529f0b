/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Callers send targets with a question mark and nothing, or only another question mark, after it.
 * The runner records the target that it gets.
 *
 * <p>Usage: {@code java EmptyQuery RECORD}. With TROUBLE=0 the queries are usual ones.
 */
final class EmptyQuery {
  private final Rig rig;
  private final Map<String, String> ran = new ConcurrentHashMap<>();

  private EmptyQuery(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] args) throws Exception {
    Rig rig = new Rig(Path.of(args[0]));
    try {
      rig.exit(new EmptyQuery(rig).run());
    } catch (Exception e) {
      rig.log("could not run: " + e);
      rig.exit(Rig.NOT_RUN);
    }
  }

  private int run() throws Exception {
    rig.store.put(
        "config",
        "main",
        Rig.configuration(
            3,
            Rig.route("desk", "unsafe", "desk", 1_500, 1),
            "{\"name\":\"desk\",\"max_connections\":110}"));
    for (int i = 0; i < 3; i++) {
      int port =
          rig.serve(
              (m, out, socket) -> {
                ran.put(m.header("X-Request-Id"), m.target());
                Rig.reply(out, 200, Rig.stamp(m), "done");
                return true;
              });
      rig.store.put("servers", "i-desk-" + i, Rig.entry("desk", port, "", "ready"));
    }
    int peer = Rig.freePort();
    Rig.Node node = rig.start("front-1", "127.0.0.1", peer, "127.0.0.1:" + peer);
    rig.awaitReady(node);
    List<String> targets =
        Rig.trouble()
            ? List.of("/desk/a?", "/desk/a??", "/desk/a;b=1?", "/desk/a?b=1")
            : List.of("/desk/a", "/desk/a?b", "/desk/a;b=1?c=", "/desk/a?b=1");
    int changed = 0;
    for (int i = 0; i < targets.size(); i++) {
      String id = "q" + i;
      String head =
          "POST %s HTTP/1.1\r\nHost: members.example\r\nX-Request-Id: %s\r\n"
              + "X-Deadline-Ms: 3000\r\nContent-Length: 5\r\n\r\n";
      Rig.Message answer =
          Rig.call(
              node.front,
              head.formatted(targets.get(i), id),
              "hello".getBytes(StandardCharsets.UTF_8),
              3_000);
      String got = ran.getOrDefault(id, "");
      boolean same = got.equals(targets.get(i));
      changed += same ? 0 : 1;
      rig.log(
          "id=%s sent=%s ran=%s status=%d %s"
              .formatted(id, targets.get(i), got, answer.status(), same ? "" : "CHANGED"));
    }
    rig.log(changed > 0 ? "BROKEN" : "held");
    return changed > 0 ? Rig.BROKEN : Rig.HELD;
  }
}
