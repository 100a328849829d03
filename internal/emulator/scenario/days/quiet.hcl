# No faults and low load: shows the routing design by itself.
name    = "quiet"
length  = "40s"
regions = ["montreal", "saguenay"]

gateways {
  count = 8
}

pools {
  count  = 4
  spread = 0.5
}

load {
  rate = 160
}
