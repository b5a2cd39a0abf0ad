package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

const (
	// replicaDowntime is how long the replica is down. The pages name an outage of 8 s (herd).
	replicaDowntime = 6 * time.Second
	// watchedAfterRestart is how long its list is read after its restart.
	watchedAfterRestart = 10 * time.Second
)

// playEmptyList kills a follower, starts it again, and reads the complete list from it. Each list that it serves must
// be as fresh as stale_read: all backends were registered long before. A node with clients asks the same replica; what
// becomes of them is recorded and not judged.
func playEmptyList(p *play) verdict {
	members := startBackends(p, nil)
	c := startCluster(p, "r")
	leader := c.leader()
	var revision int64
	for _, m := range members {
		revision = c.register(leader, m)
	}
	var follower *replica
	waitFor("a follower with all writes", 10*time.Second, func() bool {
		follower = c.follower(revision)
		return follower != nil
	})
	node := startNode(p, []string{follower.http}, readKnown(c))
	stop := make(chan struct{})
	var client sync.WaitGroup
	client.Go(func() { sendUntil(p, node.listen, 0, stop) })
	time.Sleep(time.Second)
	if p.disrupted {
		follower.process.kill()
	}
	time.Sleep(replicaDowntime)
	if p.disrupted {
		c.startReplica(follower)
	}
	result := judgeLists(c, follower, revision, len(members))
	close(stop)
	client.Wait()
	return result
}

// judgeLists reads the complete list from a replica, and reports whether a list lacked writes that were acknowledged
// more than stale_read before.
func judgeLists(c *cluster, r *replica, revision int64, members int) verdict {
	served, stale := 0, 0
	last := ""
	for until := time.Now().Add(watchedAfterRestart); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		status, header, body := c.get(r, "/registry/instances")
		var list listing
		if status == http.StatusOK {
			served++
			if err := json.Unmarshal(body, &list); err != nil {
				giveUp("list of %s: %v", r.id, err)
			}
			if list.Revision < revision || len(list.Members) < members {
				stale++
			}
		}
		if text := string(body); text != last && status != 0 {
			last = text
			c.play.note("%s answers %d, role %q: %s", r.id, status, header.Get("X-Registry-Role"), body)
		}
	}
	c.play.note("%s served %d lists, %d of them without acknowledged writes", r.id, served, stale)
	if served == 0 {
		giveUp("the replica served no list")
	}
	if stale > 0 {
		return ruleBroken
	}
	return ruleHeld
}
